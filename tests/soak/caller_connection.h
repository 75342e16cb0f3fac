/// @file
/// A caller's connection, independent of the HTTP library of the product.
#ifndef CITRONSEAM_TESTS_SOAK_CALLER_CONNECTION_H
#define CITRONSEAM_TESTS_SOAK_CALLER_CONNECTION_H

#include <cstdint>
#include <map>
#include <string>

#include "citronseam/process/clock.h"

namespace citronseam::soak {

/// How an exchange ended for the caller.
enum class answer_end : std::uint8_t {
    complete,  ///< the answer states its end, and the end was reached
    broken,    ///< the connection ended before
    timed_out, ///< the caller left
    unconnected
};

/// What a caller received.
struct caller_answer {
    answer_end end{answer_end::unconnected};
    int status{0};                              ///< 0 until the head has ended
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;                           ///< without the overhead of chunks
    std::string stray_bytes; ///< received where no answer was due, or that are none
};

/// A blocking HTTP/1.1 connection to a gateway, which is used until the gateway ends it.
class caller_connection {
public:
    /// @param port port on loopback
    explicit caller_connection(std::uint16_t port) : port_(port) {}
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sends a request and waits for its answer.
    /// @param request bytes of the request
    caller_answer exchange(const std::string& request, milliseconds timeout);
    /// @return number of connections made so far
    int connection_count() const { return connection_count_; }

private:
    enum class read_result : std::uint8_t { data, end, timeout };
    bool connect();
    void close();
    bool send_all(const std::string& bytes) const;
    read_result read_more(time_point deadline);
    void take_leftover(caller_answer& answer);
    bool read_head(caller_answer& answer, time_point deadline);
    bool read_bytes(caller_answer& answer, std::size_t count, time_point deadline);
    bool read_chunks(caller_answer& answer, time_point deadline);
    bool read_until(const std::string& mark, caller_answer& answer, time_point deadline);
    void read_to_end(caller_answer& answer, time_point deadline);

    std::uint16_t port_;
    int socket_{-1};
    int connection_count_{0};
    std::string received_; ///< not yet consumed
};

} // namespace citronseam::soak

#endif
