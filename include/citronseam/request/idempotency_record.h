/// @file
/// The row that makes a non-idempotent request run at most once.
///
/// The agent inserts the row just before it hands the request to its backend server. The insert is
/// conditional, so one agent at most ever runs a key, however often and wherever it is sent. A row
/// without a result means that the request may have run.
#ifndef CITRONSEAM_REQUEST_IDEMPOTENCY_RECORD_H
#define CITRONSEAM_REQUEST_IDEMPOTENCY_RECORD_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citronseam/process/error.h"

namespace citronseam {

/// How far a keyed request has come.
enum class key_state : std::uint8_t {
    started,  ///< claimed by an agent; it runs, ran without a kept result, or its agent died
    finished, ///< the result is kept
    settled   ///< an operator found out how it ended; there is no answer to replay
};
/// @return the name of a state as written in the row
std::string_view name(key_state state) noexcept;

/// A header of an answer.
struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

/// A whole answer.
struct whole_answer {
    int status{0};
    std::vector<http_header> headers;
    std::string body;
};

/// Content of the row.
struct key_record {
    key_state state{key_state::started};
    std::string attempt;            ///< unique identifier of the claim
    std::string agent;              ///< instance of the agent that claimed
    std::uint64_t fingerprint{0};   ///< of the request, so that a key cannot serve two requests
    std::uint64_t expires_at_ms{0}; ///< Unix time in milliseconds
    whole_answer answer;            ///< when finished
    std::string answer_object;      ///< name of the object that holds a large answer's body
    std::string note;               ///< operator's words, when settled
};

/// @return the row's key: a hash, so that the caller's key can hold any bytes
std::string key_row_name(std::string_view service, std::string_view workspace,
                         std::string_view key);

/// @return the row's JSON text
std::string to_json(const key_record& record);
/// @return the record, or an error when the text is not one
result<key_record> parse_key_record(const std::string& text);

/// @return whether the row may be deleted
bool is_key_expired(const key_record& record, std::uint64_t now_ms) noexcept;

/// What to do with a request whose key has a row already.
enum class key_decision : std::uint8_t {
    run,         ///< the row is this attempt's own claim
    replay,      ///< give the kept answer
    in_progress, ///< may have run; there is no answer yet
    mismatch,    ///< the key belongs to another request
    settled      ///< an operator closed it
};

/// @param record      the row
/// @param attempt     identifier of the present claim
/// @param fingerprint of the present request
key_decision decide_on_key(const key_record& record, std::string_view attempt,
                           std::uint64_t fingerprint) noexcept;

} // namespace citronseam

#endif
