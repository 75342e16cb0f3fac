#include "citronseam/process/yaml_mapping_reader.h"
#include "citronseam/process/sizes.h"

#include <algorithm>
#include <charconv>

#include "citronseam/process/closest_word.h"
#include "citronseam/process/units.h"

namespace citronseam {
namespace {

constexpr std::size_t max_problems = 50;
constexpr std::size_t max_nesting_depth = 64;
constexpr std::size_t max_document_bytes = 4 * mebibyte;

std::string join_words(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text.append(text.empty() ? "" : ", ").append(word);
    }
    return text;
}

/// The YAML library recurses for each nesting level, so a deeply nested document is rejected before
/// parsing.
bool is_nested_too_deeply(const std::string& content) {
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
        if (depth > max_nesting_depth || indent > 4 * max_nesting_depth) {
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

yaml_mapping_reader::yaml_mapping_reader(const YAML::Node& node, std::string file, std::string path,
                                         std::vector<file_problem>& problems)
    : node_(node), file_(std::move(file)), path_(std::move(path)), problems_(problems) {}

bool yaml_mapping_reader::has(const std::string& key) const {
    const YAML::Node& node = node_;
    return node[key].IsDefined();
}

std::string yaml_mapping_reader::path_of(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
}

int yaml_mapping_reader::line_of(const std::string& key) const {
    for (const auto& entry : node_) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key) {
            return entry.first.Mark().line + 1;
        }
    }
    return node_.Mark().line + 1;
}

void yaml_mapping_reader::report(const std::string& key, const std::string& message) {
    if (problems_.size() < max_problems) {
        problems_.push_back({file_, line_of(key), path_of(key), message});
    }
}

bool yaml_mapping_reader::read_scalar(const std::string& key, std::string& value) {
    known_keys_.push_back(key);
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

std::string yaml_mapping_reader::required_text(const std::string& key) {
    std::string value;
    if (!read_scalar(key, value) || value.empty()) {
        report(key, "a text is required here and is missing");
    }
    return value;
}

std::string yaml_mapping_reader::text_or(const std::string& key, const std::string& fallback) {
    std::string value;
    return read_scalar(key, value) ? value : fallback;
}

std::uint64_t yaml_mapping_reader::number_or(const std::string& key, std::uint64_t fallback,
                                             std::uint64_t min, std::uint64_t max) {
    std::string value;
    if (!read_scalar(key, value)) {
        return fallback;
    }
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const auto [rest, problem] = std::from_chars(value.data(), end, number);
    if (problem != std::errc{} || rest != end || number < min || number > max) {
        report(key, "expected a whole number from " + std::to_string(min) + " to " +
                        std::to_string(max) + ", found '" + value + "'");
        return fallback;
    }
    return number;
}

double yaml_mapping_reader::decimal_or(const std::string& key, double fallback) {
    std::string value;
    if (!read_scalar(key, value)) {
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

bool yaml_mapping_reader::flag_or(const std::string& key, bool fallback) {
    const std::string value = choice_or(key, fallback ? "true" : "false", {"true", "false"});
    return value == "true";
}

milliseconds yaml_mapping_reader::duration_or(const std::string& key, milliseconds fallback) {
    std::string value;
    if (!read_scalar(key, value)) {
        return fallback;
    }
    const auto parsed = parse_duration(value);
    if (!parsed) {
        report(key, parsed.error().message);
        return fallback;
    }
    return *parsed;
}

std::uint64_t yaml_mapping_reader::size_or(const std::string& key, std::uint64_t fallback) {
    std::string value;
    if (!read_scalar(key, value)) {
        return fallback;
    }
    const auto parsed = parse_size(value);
    if (!parsed) {
        report(key, parsed.error().message);
        return fallback;
    }
    return *parsed;
}

std::uint64_t yaml_mapping_reader::rate_or(const std::string& key, std::uint64_t fallback) {
    std::string value;
    if (!read_scalar(key, value)) {
        return fallback;
    }
    const auto parsed = parse_rate(value);
    if (!parsed) {
        report(key, parsed.error().message);
        return fallback;
    }
    return *parsed;
}

std::string yaml_mapping_reader::choice_or(const std::string& key, const std::string& fallback,
                                           const std::vector<std::string>& choices) {
    std::string value;
    if (!read_scalar(key, value)) {
        return fallback;
    }
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        report(key, "expected one of " + join_words(choices) + ", found '" + value +
                        "'; the closest is '" + closest_word(value, choices) + "'");
        return fallback;
    }
    return value;
}

std::string yaml_mapping_reader::required_choice(const std::string& key,
                                                 const std::vector<std::string>& choices) {
    if (!has(key)) {
        known_keys_.push_back(key);
        report(key, "one of " + join_words(choices) + " is required here and is missing");
        return choices.front();
    }
    return choice_or(key, choices.front(), choices);
}

std::vector<std::string> yaml_mapping_reader::text_list(const std::string& key) {
    known_keys_.push_back(key);
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

void yaml_mapping_reader::mapping(const std::string& key,
                                  const std::function<void(yaml_mapping_reader&)>& read) {
    known_keys_.push_back(key);
    if (!has(key)) {
        return;
    }
    const YAML::Node entry = node_[key];
    if (!entry.IsMap()) {
        report(key, "expected a mapping");
        return;
    }
    yaml_mapping_reader nested(entry, file_, path_of(key), problems_);
    read(nested);
    nested.finish();
}

void yaml_mapping_reader::mapping_list(const std::string& key,
                                       const std::function<void(yaml_mapping_reader&)>& read) {
    known_keys_.push_back(key);
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
        yaml_mapping_reader nested(entry, file_, path, problems_);
        read(nested);
        nested.finish();
    }
}

void yaml_mapping_reader::finish() {
    std::vector<std::string> seen_keys;
    for (const auto& entry : node_) {
        if (!entry.first.IsScalar()) {
            report("", "a key must be a scalar");
            continue;
        }
        const std::string key = entry.first.Scalar();
        if (std::find(seen_keys.begin(), seen_keys.end(), key) != seen_keys.end()) {
            report(key, "duplicate key");
        }
        seen_keys.push_back(key);
        if (std::find(known_keys_.begin(), known_keys_.end(), key) == known_keys_.end()) {
            const std::string suggestion = closest_word(key, known_keys_);
            report(key, "unknown key" +
                            (suggestion.empty() ? "" : "; the closest is '" + suggestion + "'"));
        }
    }
}

void read_yaml(const std::string& content, const std::string& file,
               std::vector<file_problem>& problems,
               const std::function<void(yaml_mapping_reader&)>& read) {
    if (content.size() > max_document_bytes || is_nested_too_deeply(content)) {
        problems.push_back({file, 0, "", "the document is larger or nested deeper than accepted"});
        return;
    }
    try {
        const YAML::Node root = YAML::Load(content);
        if (!root.IsMap()) {
            problems.push_back({file, 1, "", "expected a mapping at the top of the file"});
            return;
        }
        yaml_mapping_reader reader(root, file, "", problems);
        read(reader);
        reader.finish();
    } catch (const YAML::Exception& exception) {
        problems.push_back({file, exception.mark.line + 1, "", exception.msg});
    }
}

} // namespace citronseam
