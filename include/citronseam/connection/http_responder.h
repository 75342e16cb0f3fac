/// @file
/// Writes the response to one HTTP request.
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

/// Responds to one request, whole or streamed, from any thread.
///
/// A streamed response uses chunked transfer coding. When it cannot be finished, abort() closes the
/// connection before the last chunk, so that the client sees an aborted transfer and never a
/// truncated response that looks complete. The destructor calls abort() if the response is not
/// finished.
class http_responder {
public:
    /// @param connection      the client's connection
    /// @param is_head_request whether the request was a HEAD, whose response has no body
    /// @param are_connections_scarce whether the server has few connections left for clients
    http_responder(std::shared_ptr<server_connection> connection, bool is_head_request,
                   bool are_connections_scarce = false);
    ~http_responder();
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;

    /// Sends a whole response with its Content-Length. A refusal (503) closes the connection when
    /// few are left.
    void respond(int status, const std::vector<http_header>& headers, std::string_view body);
    /// Sends a response without a length that ends with its connection. For a body whose own end is
    /// not stated either: a length would turn what may have been cut off into a whole response.
    void respond_until_close(int status, const std::vector<http_header>& headers,
                             std::string_view body);
    /// Starts a streamed response: sends its status line and headers.
    void begin(int status, const std::vector<http_header>& headers);
    /// Sends one chunk. Empty data is ignored, since an empty chunk would end the response.
    void write(std::string_view data);
    /// Ends a streamed response.
    void finish();
    /// Closes the connection without finishing the response.
    void abort();

    /// Closes the connection after the response and announces this with `Connection: close`. Call
    /// it before the response starts.
    void close_after_response();

    /// @return whether the client is still connected
    bool is_open() const;
    /// @return whether the client has closed the connection, also when the close has not been read
    /// from the socket yet. It asks the operating system.
    bool has_client_left() const;
    /// @return whether begin() or respond() was called
    bool has_started() const noexcept { return state_ != state::waiting; }
    /// Sets the callback for a client that disconnects before the response ended; called at most
    /// once. It runs on a server thread and must not block. When the client has already
    /// disconnected, it is called at once on the calling thread.
    void on_disconnect(std::function<void()> callback);

private:
    enum class state : std::uint8_t { waiting, streaming, done };

    void end();
    std::string_view closing_header() const noexcept;

    std::shared_ptr<server_connection> connection_;
    bool is_head_request_;
    bool are_connections_scarce_;
    bool closes_connection_{false};
    state state_{state::waiting};
};

} // namespace citronseam

#endif
