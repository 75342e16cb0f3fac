/// @file
/// Strict reading of YAML mappings: every key must be known, every value must have its type.
#ifndef CITRONSEAM_PROCESS_YAML_MAPPING_READER_H
#define CITRONSEAM_PROCESS_YAML_MAPPING_READER_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "citronseam/process/clock.h"
#include "citronseam/process/file_problem.h"

namespace citronseam {

/// Reads one YAML mapping and collects every problem instead of stopping at the first.
///
/// Each reader function removes its key from the set of unread keys; finish() reports the keys that
/// nobody asked for, with the closest valid one.
///
///     yaml_object object(node, "settings.yaml", "", problems);
///     settings.instance = object.text("instance");
///     object.finish();
class yaml_object {
public:
    /// @param node     the mapping
    /// @param file     name of the file, for messages
    /// @param path     path of this mapping inside the file, empty for the root
    /// @param problems collects what is wrong; must outlive this object
    yaml_object(const YAML::Node& node, std::string file, std::string path,
                std::vector<file_problem>& problems);

    /// @return whether the key stands in the mapping
    bool has(const std::string& key) const;

    /// Reads a required text that must not be empty.
    std::string text(const std::string& key);
    /// Reads a text, or returns `fallback` when the key is absent.
    std::string text_or(const std::string& key, const std::string& fallback);
    /// Reads a whole number within [least, most], or returns `fallback`.
    std::uint64_t number_or(const std::string& key, std::uint64_t fallback, std::uint64_t least,
                            std::uint64_t most);
    /// Reads a number that may have a fraction and is not negative, or returns `fallback`.
    double fraction_or(const std::string& key, double fallback);
    /// Reads `true` or `false`, or returns `fallback`.
    bool flag_or(const std::string& key, bool fallback);
    /// Reads a duration with a unit, or returns `fallback`.
    milliseconds duration_or(const std::string& key, milliseconds fallback);
    /// Reads a size with a unit, or returns `fallback`. @return bytes
    std::uint64_t size_or(const std::string& key, std::uint64_t fallback);
    /// Reads a rate with a unit, or returns `fallback`. @return bytes a second
    std::uint64_t rate_or(const std::string& key, std::uint64_t fallback);
    /// Reads one of a fixed set of words, or returns `fallback`.
    std::string choice_or(const std::string& key, const std::string& fallback,
                          const std::vector<std::string>& choices);
    /// Reads a required word out of a fixed set.
    std::string choice(const std::string& key, const std::vector<std::string>& choices);
    /// Reads a list of texts; absent means empty.
    std::vector<std::string> texts(const std::string& key);

    /// Reads a nested mapping; does nothing when the key is absent.
    void object(const std::string& key, const std::function<void(yaml_object&)>& read);
    /// Reads a list of mappings; does nothing when the key is absent.
    void objects(const std::string& key, const std::function<void(yaml_object&)>& read);

    /// Reports the keys that were not read. Call it last.
    void finish();

    /// Reports a problem at the line of `key`, or of the mapping when the key is absent.
    void report(const std::string& key, const std::string& message);

    /// @return the path of a field of this mapping, for messages
    std::string path_of(const std::string& key) const;

private:
    /// Marks the key as known and returns its scalar text, if there is one.
    bool take(const std::string& key, std::string& value);
    int line_of(const std::string& key) const;

    YAML::Node node_;
    std::string file_;
    std::string path_;
    std::vector<file_problem>& problems_;
    std::vector<std::string> known_;
};

/// Parses a YAML document whose root is a mapping and hands it to `read`.
/// @param content  the text of the file
/// @param file     its name, for messages
/// @param problems collects what is wrong, syntax errors included
/// @param read     reads the root mapping; finish() is called after it
void read_yaml(const std::string& content, const std::string& file,
               std::vector<file_problem>& problems, const std::function<void(yaml_object&)>& read);

} // namespace citronseam

#endif
