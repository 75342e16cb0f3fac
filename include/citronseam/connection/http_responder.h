/// @file
/// Writes the answer to one HTTP request.
#ifndef CITRONSEAM_CONNECTION_HTTP_RESPONDER_H
#define CITRONSEAM_CONNECTION_HTTP_RESPONDER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/request/idempotency_record.h"

namespace citronseam {

class server_connection;

/// Answers one request, whole or in parts, from any thread.
///
/// An answer in parts is framed as chunks. When it cannot be finished, abort() cuts the connection
/// before the last chunk, so that the caller sees an aborted transfer and never a short answer that
/// looks whole. A responder that is dropped without an answer aborts.
class http_responder {
public:
    /// @param connection the caller's connection
    /// @param is_head    whether the request was a HEAD, whose answer has no body
    http_responder(std::shared_ptr<server_connection> connection, bool is_head);
    ~http_responder();
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;

    /// Sends a whole answer with its length.
    void respond(int status, const std::vector<http_header>& headers, std::string_view body);
    /// Sends the head of an answer in parts.
    void begin(int status, const std::vector<http_header>& headers);
    /// Sends a part. Empty parts are ignored, since an empty chunk would end the answer.
    void write(std::string_view data);
    /// Ends an answer in parts.
    void finish();
    /// Cuts the connection.
    void abort();

    /// Closes the connection once the answer is out, and tells the caller so with the answer.
    void close_after_answer();

    /// @return whether the caller is still connected
    bool is_open() const;
    /// @return whether begin() or respond() was called
    bool has_begun() const noexcept { return state_ != state::waiting; }
    /// Sets what is called once when the caller hangs up before the answer ended. It runs on a
    /// server thread and must not block.
    void on_hang_up(std::function<void()> callback);

private:
    enum class state : std::uint8_t { waiting, streaming, done };

    void end();
    std::string_view closing_header() const noexcept;

    std::shared_ptr<server_connection> connection_;
    bool is_head_;
    bool is_last_{false};
    state state_{state::waiting};
};

} // namespace citronseam

#endif
