/// @file
/// Options, clients and output functions that the subcommands of the operator tool share.
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
    failed = 1,        ///< the request failed
    invalid_input = 2, ///< invalid file or arguments
    unreachable = 3,   ///< the platform or the entries could not be reached; nothing was changed
    indeterminate = 4, ///< the outcome is unknown; run the command again
    conflict = 5       ///< another operator's change was committed first
};

/// Output format.
enum class output_format : std::uint8_t { text, json };

/// Addresses of the platform services and the entries, and output settings.
struct tool_options {
    std::string store_url;                    ///< base URL of the table service
    std::string object_store_url;             ///< base URL of the object store; empty: `store_url`
    std::string weight_store_url;             ///< base URL of the weight store
    std::vector<std::string> entry_addresses; ///< operator addresses of entries, `host:port`
    output_format output{output_format::text};
    std::string author; ///< recorded in the history of the configuration
};

/// Holds the options and the blocking clients of the platform services.
class tool_context {
public:
    /// @param options as validated by the command-line parser
    explicit tool_context(tool_options options);

    /// @return the options
    const tool_options& options() const noexcept { return options_; }
    /// @return the HTTP client
    http_client& http() noexcept { return http_; }

    /// Blocking versions of the functions of `table_client`.
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

    /// Sends a request to the entries in turn until one responds.
    /// @param path path of the operator interface
    /// @return the JSON body. Errors: `not_found` for status 404, `invalid_argument` for other
    /// statuses of 400 and above, `unavailable` when no entry responds
    result<nlohmann::json> query_entry(const std::string& method, const std::string& path,
                                       const std::string& body = "");
    /// Sends a POST request to all entries.
    /// @return number of entries that accepted it
    int broadcast_to_entries(const std::string& path, const std::string& body);

private:
    http_response send_request(const std::string& entry, const std::string& method,
                               const std::string& path, const std::string& body);

    tool_options options_;
    http_client http_{2 * max_object_size};
    std::unique_ptr<table_client> table_client_;
};

/// Prints an error to standard error and returns the matching exit code.
int print_error(const error& problem);
/// Prints a result as JSON or text.
void print_result(const tool_context& context, const nlohmann::ordered_json& json,
                  const std::string& text);

/// Reads a whole file into a string.
result<std::string> read_file(const std::string& path);

} // namespace citronseam::tool

#endif
