/// @file
/// Strict reader for YAML mappings: unknown keys and values of the wrong type are errors.
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

/// Reads one YAML mapping and collects all problems instead of stopping at the first.
///
/// Each read function records its key as known; finish() reports the keys that were never
/// requested, with the closest known key as a suggestion.
///
///     yaml_mapping_reader reader(node, "settings.yaml", "", problems);
///     settings.instance = reader.required_text("instance");
///     reader.finish();
class yaml_mapping_reader {
public:
    /// @param node     the mapping
    /// @param file     name of the file, for error messages
    /// @param path     path of this mapping inside the file, empty for the root
    /// @param problems receives the problems found; must outlive this reader
    yaml_mapping_reader(const YAML::Node& node, std::string file, std::string path,
                        std::vector<file_problem>& problems);

    /// @return whether the mapping has the key
    bool has(const std::string& key) const;

    /// Reads a required, non-empty text. Returns an empty text and reports a problem when it is
    /// missing.
    std::string required_text(const std::string& key);
    /// Reads a text, or returns `fallback` when the key is absent.
    std::string text_or(const std::string& key, const std::string& fallback);
    /// Reads an integer within [min, max], or returns `fallback`.
    std::uint64_t number_or(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                            std::uint64_t max);
    /// Reads a non-negative decimal number, or returns `fallback`.
    double decimal_or(const std::string& key, double fallback);
    /// Reads `true` or `false`, or returns `fallback`.
    bool flag_or(const std::string& key, bool fallback);
    /// Reads a duration with a unit, or returns `fallback`.
    milliseconds duration_or(const std::string& key, milliseconds fallback);
    /// Reads a size with a unit, or returns `fallback`. @return bytes
    std::uint64_t size_or(const std::string& key, std::uint64_t fallback);
    /// Reads a rate with a unit, or returns `fallback`. @return bytes a second
    std::uint64_t rate_or(const std::string& key, std::uint64_t fallback);
    /// Reads a text that must be one of `choices`, or returns `fallback`.
    std::string choice_or(const std::string& key, const std::string& fallback,
                          const std::vector<std::string>& choices);
    /// Reads a required text that must be one of `choices`.
    std::string required_choice(const std::string& key, const std::vector<std::string>& choices);
    /// Reads a list of texts; empty when the key is absent.
    std::vector<std::string> text_list(const std::string& key);

    /// Reads a nested mapping; does nothing when the key is absent.
    void mapping(const std::string& key, const std::function<void(yaml_mapping_reader&)>& read);
    /// Reads a list of mappings; does nothing when the key is absent.
    void mapping_list(const std::string& key,
                      const std::function<void(yaml_mapping_reader&)>& read);

    /// Reports duplicate keys and keys that were not read. Must be called last.
    void finish();

    /// Reports a problem at the line of `key`, or of the mapping when the key is absent.
    void report(const std::string& key, const std::string& message);

    /// @return the path of a field of this mapping, for error messages
    std::string path_of(const std::string& key) const;

private:
    /// Records the key as known and reads its scalar text into `value`.
    /// @return whether there was one; a value that is not a scalar is reported
    bool read_scalar(const std::string& key, std::string& value);
    int line_of(const std::string& key) const;

    YAML::Node node_;
    std::string file_;
    std::string path_;
    std::vector<file_problem>& problems_;
    std::vector<std::string> known_keys_;
};

/// Parses a YAML document whose root is a mapping and passes it to `read`.
/// @param content  the text of the file
/// @param file     its name, for error messages
/// @param problems receives the problems found, syntax errors included
/// @param read     reads the root mapping; finish() is called after it
void read_yaml(const std::string& content, const std::string& file,
               std::vector<file_problem>& problems,
               const std::function<void(yaml_mapping_reader&)>& read);

} // namespace citronseam

#endif
