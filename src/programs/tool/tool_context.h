/// @file
/// What the subcommands of the operators' tool share.
#ifndef CITRONSEAM_PROGRAMS_TOOL_TOOL_CONTEXT_H
#define CITRONSEAM_PROGRAMS_TOOL_TOOL_CONTEXT_H

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"
#include "citronseam/connection/table_client.h"
#include "citronseam/process/control_state.h"

namespace citronseam::tool {

/// Exit codes, as `citronseam --help` lists them.
enum exit_status : int {
    succeeded = 0,
    failed = 1,       ///< the request could not be carried out
    not_accepted = 2, ///< a file was not accepted, or arguments are wrong
    unreachable = 3,  ///< the platform or the entries could not be reached; nothing was changed
    unknown = 4,      ///< the outcome is unknown; run the command again
    lost_race = 5     ///< another operator's change came first
};

/// How output is printed.
enum class output_form : std::uint8_t { text, json };

/// Where the platform and the entries are, and how to print.
struct tool_options {
    std::string store;                ///< base URL of the table service
    std::string objects;              ///< base URL of the object store; the store's when empty
    std::string weights;              ///< base URL of the weight store
    std::vector<std::string> entries; ///< operator addresses of entries, `host:port`
    output_form output{output_form::text};
    std::string author;
};

/// The options with clients for the platform.
class tool_context {
public:
    /// @param options checked by the command line
    explicit tool_context(tool_options options);

    /// @return the options
    const tool_options& options() const noexcept { return options_; }
    /// @return the HTTP client
    http_client& http() noexcept { return http_; }

    /// Blocking forms of the table client's functions.
    result<table_row> read(std::string_view table, const std::string& key);
    result<std::vector<table_row>> list(std::string_view table, const std::string& prefix);
    result<table_row> insert(std::string_view table, const std::string& key,
                             const std::string& value);
    result<table_row> replace(std::string_view table, const std::string& key,
                              const std::string& tag, const std::string& value);
    result<table_row> remove(std::string_view table, const std::string& key,
                             const std::string& tag);
    result<std::string> put_object(const std::string& name, const std::string& content);
    result<std::string> get_object(const std::string& name);

    /// Asks the entries in turn until one answers.
    /// @param path of the operator interface
    result<nlohmann::json> ask_entry(const std::string& method, const std::string& path,
                                     const std::string& body = "");
    /// Sends to all entries.
    /// @return how many took it
    int tell_entries(const std::string& path, const std::string& body);

private:
    http_answer call(const std::string& entry, const std::string& method, const std::string& path,
                     const std::string& body);

    tool_options options_;
    http_client http_;
    std::unique_ptr<table_client> store_;
};

/// Prints an error and gives the exit code that goes with it.
int report(const error& problem);
/// Prints a result as JSON or text.
void print(const tool_context& context, const nlohmann::ordered_json& json,
           const std::string& text);

/// Reads a whole file.
result<std::string> read_file(const std::string& path);

} // namespace citronseam::tool

#endif
