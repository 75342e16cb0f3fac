/// @file
/// The database row that makes a non-idempotent request run at most once.
///
/// The agent inserts the row just before it forwards the request to its backend server. The insert
/// is conditional, so at most one agent ever runs the request of an idempotency key, however often
/// and to whichever agents it is sent. A row without a result means that the request may have run.
#ifndef CITRONSEAM_REQUEST_IDEMPOTENCY_RECORD_H
#define CITRONSEAM_REQUEST_IDEMPOTENCY_RECORD_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citronseam/process/error.h"

namespace citronseam {

/// Progress of a request with an idempotency key.
enum class idempotency_state : std::uint8_t {
    started,  ///< claimed by an agent; running, ran without a stored result, or the agent died
    finished, ///< the result is stored
    settled   ///< closed by an operator who determined the outcome; there is no response to replay
};
/// @return the name of a state as written in the row
std::string_view name(idempotency_state state) noexcept;

/// A response header.
struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

/// A complete response.
struct complete_response {
    int status{0};
    std::vector<http_header> headers;
    std::string body;
};

/// Content of the row.
struct idempotency_record {
    idempotency_state state{idempotency_state::started};
    std::string attempt;            ///< unique identifier of the claim
    std::string agent;              ///< instance of the agent that made the claim
    std::uint64_t fingerprint{0};   ///< of the request, so that a key cannot serve two requests
    std::uint64_t expires_at_ms{0}; ///< Unix time in milliseconds
    complete_response response;     ///< set when finished
    std::string response_object;    ///< name of the object that stores the body of a large response
    std::string note;               ///< operator's note, set when settled
};

/// @return the row's key: a hash, so that the caller's key can contain any bytes
std::string key_row_name(std::string_view service, std::string_view workspace,
                         std::string_view key);

/// @return the row's JSON text
std::string to_json(const idempotency_record& record);
/// @return the record, or an error when the text is not a valid record
result<idempotency_record> parse_idempotency_record(const std::string& text);

/// @return whether the row may be deleted
bool is_record_expired(const idempotency_record& record, std::uint64_t now_ms) noexcept;

/// What to do with a request whose key already has a row.
enum class idempotency_decision : std::uint8_t {
    run,         ///< the row is the claim of this attempt
    replay,      ///< return the stored response
    in_progress, ///< may have run; there is no response yet
    mismatch,    ///< the key was used for a different request
    settled      ///< closed by an operator
};

/// @param record      the row
/// @param attempt     identifier of the current claim
/// @param fingerprint of the current request
idempotency_decision resolve_idempotency_key(const idempotency_record& record,
                                             std::string_view attempt,
                                             std::uint64_t fingerprint) noexcept;

} // namespace citronseam

#endif
