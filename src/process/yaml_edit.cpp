#include "citronseam/process/yaml_edit.h"

#include <yaml-cpp/yaml.h>

namespace citronseam {
namespace {

/// Offset of the first character of a line, which is counted from 0.
std::size_t line_start(const std::string& text, int line) {
    std::size_t position = 0;
    for (int i = 0; i < line; ++i) {
        position = text.find('\n', position) + 1;
    }
    return position;
}

std::size_t position_of(const std::string& text, const YAML::Mark& mark) {
    return line_start(text, mark.line) + static_cast<std::size_t>(mark.column);
}

/// End of the scalar that starts at `start`: the closing quote, or the next space, comment, comma
/// or closing brace.
std::size_t scalar_end(const std::string& text, std::size_t start) {
    const char quote = text[start];
    if (quote == '"' || quote == '\'') {
        return text.find(quote, start + 1) + 1;
    }
    return std::min(text.find_first_of(" \t\r\n#,}", start), text.size());
}

YAML::Node find_item(const YAML::Node& root, const yaml_location& location) {
    const YAML::Node list = root[location.list];
    if (list && list.IsSequence()) {
        for (const auto& entry : list) {
            const YAML::Node item(static_cast<const YAML::Node&>(entry));
            if (item.IsMap() && item["name"] && item["name"].IsScalar() &&
                item["name"].Scalar() == location.item) {
                return item;
            }
        }
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

YAML::Mark key_mark(const YAML::Node& item, const std::string& key) {
    for (const auto& entry : item) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key) {
            return entry.first.Mark();
        }
    }
    return YAML::Mark::null_mark();
}

std::string replace_range(const std::string& text, std::size_t start, std::size_t end,
                          const std::string& value) {
    return text.substr(0, start) + value + text.substr(end);
}

} // namespace

result<std::string> set_yaml_value(const std::string& text, const yaml_location& location,
                                   const std::string& value) {
    try {
        const YAML::Node root = YAML::Load(text);
        const YAML::Node item = root.IsMap() ? find_item(root, location) : YAML::Node();
        if (!item.IsDefined() || !item.IsMap()) {
            return failure(error_code::not_found,
                           "there is no '" + location.item + "' under '" + location.list + "'");
        }
        const YAML::Node current = item[location.field];
        if (current.IsDefined()) {
            const std::size_t start = position_of(text, current.Mark());
            return replace_range(text, start, scalar_end(text, start), value);
        }
        const YAML::Node name = item["name"];
        const std::size_t line_end = text.find('\n', position_of(text, name.Mark()));
        const std::size_t insert_position = line_end == std::string::npos ? text.size() : line_end;
        const auto indent = static_cast<std::size_t>(key_mark(item, "name").column);
        const std::string line = "\n" + std::string(indent, ' ') + location.field + ": " + value;
        return replace_range(text, insert_position, insert_position, line);
    } catch (const YAML::Exception& exception) {
        return failure(error_code::invalid_file, exception.msg);
    }
}

} // namespace citronseam
