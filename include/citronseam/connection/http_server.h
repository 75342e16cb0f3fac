/// @file
/// HTTP server on Pistache whose responses may be written from any thread.
#ifndef CITRONSEAM_CONNECTION_HTTP_SERVER_H
#define CITRONSEAM_CONNECTION_HTTP_SERVER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "citronseam/connection/connection_limits.h"
#include "citronseam/connection/http_responder.h"
#include "citronseam/connection/receive_memory.h"
#include "citronseam/process/settings.h"
#include "citronseam/process/sizes.h"
#include "citronseam/request/idempotency_record.h"

namespace citronseam {

/// A received request.
struct server_request {
    std::string method;
    std::string path;   ///< without the query
    std::string target; ///< path and query
    std::vector<http_header> headers;
    std::string body;
    std::string client_address; ///< without the port
    /// Counts the request towards the memory of received requests while it or a copy exists.
    std::shared_ptr<void> memory;
};

/// @return the value of a query parameter, empty when it is absent
std::string query_parameter(const server_request& request, std::string_view name);

/// Handles one request. Runs on a server thread and must not block; the response may be sent later
/// from any thread.
using request_handler =
    std::function<void(server_request request, std::shared_ptr<http_responder> responder)>;

/// Options of a server.
struct server_options {
    host_port address;
    int threads{2};
    std::size_t max_body_size{8 * mebibyte}; ///< bytes; a longer body is answered with 413
    /// Bytes of responses that may wait for all clients together, and half of it for one of them.
    std::size_t max_unsent_bytes{192 * mebibyte};
    /// Memory of the requests that all servers of the process receive; nullptr: one of its own.
    std::shared_ptr<receive_memory> received{};
};

/// HTTP server; it accepts requests from construction to destruction.
class http_server {
public:
    /// @throws std::runtime_error when the address cannot be bound
    http_server(const server_options& options, request_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Replaces the limits on client connections; initially only sizes are limited. May be called
    /// from any thread.
    void set_limits(const connection_limits& limits);
    /// Refuses, with 503, the requests of which only a part was received. For a server that ends.
    void refuse_unfinished_requests();
    /// @return whether a client has yet to take a part of its response, which the end of the
    /// process would cut off
    bool has_unsent_responses() const;
    /// @return the port that is bound, also when port 0 was requested
    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace citronseam

#endif
