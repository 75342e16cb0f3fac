#include "citronseam/process/yaml_mapping_reader.h"
#include "citronseam/process/sizes.h"

#include <algorithm>
#include <charconv>

#include "citronseam/process/closest_word.h"
#include "citronseam/process/units.h"

namespace citronseam {
namespace {

constexpr std::size_t most_problems = 50;
constexpr std::size_t deepest_nesting = 64;
constexpr std::size_t largest_document_bytes = 4 * mebibyte;

std::string quoted_list(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text.append(text.empty() ? "" : ", ").append(word);
    }
    return text;
}

/// The YAML library recurses over nesting, so a deep document is refused before it is parsed.
bool is_too_deep(const std::string& content) {
    std::size_t depth = 0;
    std::size_t indent = 0;
    bool is_line_start = true;
    for (const char letter : content) {
        if (letter == '\n') {
            is_line_start = true;
            indent = 0;
        } else if (is_line_start && (letter == ' ' || letter == '-' || letter == '?')) {
            ++indent;
        } else {
            is_line_start = false;
        }
        depth += (letter == '[' || letter == '{') ? 1 : 0;
        depth -= ((letter == ']' || letter == '}') && depth > 0) ? 1 : 0;
        if (depth > deepest_nesting || indent > 4 * deepest_nesting) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string describe(const file_problem& problem) {
    std::string text = problem.file + ":";
    if (problem.line > 0) {
        text += std::to_string(problem.line) + ":";
    }
    if (!problem.field.empty()) {
        text += " " + problem.field + ":";
    }
    return text + " " + problem.message;
}

std::string describe(const std::vector<file_problem>& problems) {
    std::string text;
    for (const auto& problem : problems) {
        text += describe(problem) + "\n";
    }
    return text;
}

yaml_object::yaml_object(const YAML::Node& node, std::string file, std::string path,
                         std::vector<file_problem>& problems)
    : node_(node), file_(std::move(file)), path_(std::move(path)), problems_(problems) {}

bool yaml_object::has(const std::string& key) const {
    const YAML::Node& node = node_;
    return node[key].IsDefined();
}

std::string yaml_object::path_of(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
}

int yaml_object::line_of(const std::string& key) const {
    for (const auto& entry : node_) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key) {
            return entry.first.Mark().line + 1;
        }
    }
    return node_.Mark().line + 1;
}

void yaml_object::report(const std::string& key, const std::string& message) {
    if (problems_.size() < most_problems) {
        problems_.push_back({file_, line_of(key), path_of(key), message});
    }
}

bool yaml_object::take(const std::string& key, std::string& value) {
    known_.push_back(key);
    if (!has(key)) {
        return false;
    }
    const YAML::Node entry = node_[key];
    if (!entry.IsScalar()) {
        report(key, "expected a single value");
        return false;
    }
    value = entry.Scalar();
    return true;
}

std::string yaml_object::text(const std::string& key) {
    std::string value;
    if (!take(key, value) || value.empty()) {
        report(key, "a text is required here and is missing");
    }
    return value;
}

std::string yaml_object::text_or(const std::string& key, const std::string& fallback) {
    std::string value;
    return take(key, value) ? value : fallback;
}

std::uint64_t yaml_object::number_or(const std::string& key, std::uint64_t fallback,
                                     std::uint64_t least, std::uint64_t most) {
    std::string value;
    if (!take(key, value)) {
        return fallback;
    }
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const auto [rest, problem] = std::from_chars(value.data(), end, number);
    if (problem != std::errc{} || rest != end || number < least || number > most) {
        report(key, "expected a whole number from " + std::to_string(least) + " to " +
                        std::to_string(most) + ", found '" + value + "'");
        return fallback;
    }
    return number;
}

double yaml_object::fraction_or(const std::string& key, double fallback) {
    std::string value;
    if (!take(key, value)) {
        return fallback;
    }
    double number = 0;
    const char* end = value.data() + value.size();
    const auto [rest, problem] = std::from_chars(value.data(), end, number);
    if (problem != std::errc{} || rest != end || number < 0) {
        report(key, "expected a number that is not negative, found '" + value + "'");
        return fallback;
    }
    return number;
}

bool yaml_object::flag_or(const std::string& key, bool fallback) {
    const std::string value = choice_or(key, fallback ? "true" : "false", {"true", "false"});
    return value == "true";
}

milliseconds yaml_object::duration_or(const std::string& key, milliseconds fallback) {
    std::string value;
    if (!take(key, value)) {
        return fallback;
    }
    const auto parsed = parse_duration(value);
    if (!parsed) {
        report(key, parsed.error().message);
        return fallback;
    }
    return *parsed;
}

std::uint64_t yaml_object::size_or(const std::string& key, std::uint64_t fallback) {
    std::string value;
    if (!take(key, value)) {
        return fallback;
    }
    const auto parsed = parse_size(value);
    if (!parsed) {
        report(key, parsed.error().message);
        return fallback;
    }
    return *parsed;
}

std::uint64_t yaml_object::rate_or(const std::string& key, std::uint64_t fallback) {
    std::string value;
    if (!take(key, value)) {
        return fallback;
    }
    const auto parsed = parse_rate(value);
    if (!parsed) {
        report(key, parsed.error().message);
        return fallback;
    }
    return *parsed;
}

std::string yaml_object::choice_or(const std::string& key, const std::string& fallback,
                                   const std::vector<std::string>& choices) {
    std::string value;
    if (!take(key, value)) {
        return fallback;
    }
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        report(key, "expected one of " + quoted_list(choices) + ", found '" + value +
                        "'; the closest is '" + closest_word(value, choices) + "'");
        return fallback;
    }
    return value;
}

std::string yaml_object::choice(const std::string& key, const std::vector<std::string>& choices) {
    if (!has(key)) {
        known_.push_back(key);
        report(key, "one of " + quoted_list(choices) + " is required here and is missing");
        return choices.front();
    }
    return choice_or(key, choices.front(), choices);
}

std::vector<std::string> yaml_object::texts(const std::string& key) {
    known_.push_back(key);
    std::vector<std::string> values;
    if (!has(key)) {
        return values;
    }
    const YAML::Node list = node_[key];
    if (!list.IsSequence()) {
        report(key, "expected a list of texts");
        return values;
    }
    for (const auto& entry : list) {
        if (entry.IsScalar()) {
            values.push_back(entry.Scalar());
        } else {
            report(key, "expected a list of texts");
        }
    }
    return values;
}

void yaml_object::object(const std::string& key, const std::function<void(yaml_object&)>& read) {
    known_.push_back(key);
    if (!has(key)) {
        return;
    }
    const YAML::Node entry = node_[key];
    if (!entry.IsMap()) {
        report(key, "expected a mapping");
        return;
    }
    yaml_object nested(entry, file_, path_of(key), problems_);
    read(nested);
    nested.finish();
}

void yaml_object::objects(const std::string& key, const std::function<void(yaml_object&)>& read) {
    known_.push_back(key);
    if (!has(key)) {
        return;
    }
    const YAML::Node list = node_[key];
    if (!list.IsSequence()) {
        report(key, "expected a list of mappings");
        return;
    }
    for (std::size_t index = 0; index < list.size(); ++index) {
        const YAML::Node entry = list[index];
        const std::string path = path_of(key) + "[" + std::to_string(index) + "]";
        if (!entry.IsMap()) {
            report(key, "expected a mapping at " + path);
            continue;
        }
        yaml_object nested(entry, file_, path, problems_);
        read(nested);
        nested.finish();
    }
}

void yaml_object::finish() {
    std::vector<std::string> seen;
    for (const auto& entry : node_) {
        if (!entry.first.IsScalar()) {
            report("", "a key must be a plain word");
            continue;
        }
        const std::string key = entry.first.Scalar();
        if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
            report(key, "this key stands twice");
        }
        seen.push_back(key);
        if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
            const std::string near = closest_word(key, known_);
            report(key, "unknown key" + (near.empty() ? "" : "; the closest is '" + near + "'"));
        }
    }
}

void read_yaml(const std::string& content, const std::string& file,
               std::vector<file_problem>& problems, const std::function<void(yaml_object&)>& read) {
    if (content.size() > largest_document_bytes || is_too_deep(content)) {
        problems.push_back({file, 0, "", "the document is larger or nested deeper than accepted"});
        return;
    }
    try {
        const YAML::Node root = YAML::Load(content);
        if (!root.IsMap()) {
            problems.push_back({file, 1, "", "expected a mapping at the top of the file"});
            return;
        }
        yaml_object object(root, file, "", problems);
        read(object);
        object.finish();
    } catch (const YAML::Exception& exception) {
        problems.push_back({file, exception.mark.line + 1, "", exception.msg});
    }
}

} // namespace citronseam
