/// @file
/// Limits the memory of the requests that all HTTP servers of a process receive.
#ifndef CITRONSEAM_CONNECTION_RECEIVE_MEMORY_H
#define CITRONSEAM_CONNECTION_RECEIVE_MEMORY_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/metrics.h"
#include "citronseam/process/sizes.h"
#include "citronseam/request/received_requests.h"

namespace citronseam {

class receive_memory;

/// Bytes of one request while it is received. Used by the thread that reads the request; another
/// thread may discard the bytes at any time to make room. Gives its memory back when it is
/// destroyed.
class receive_buffer {
public:
    ~receive_buffer();
    receive_buffer(const receive_buffer&) = delete;
    receive_buffer& operator=(const receive_buffer&) = delete;

    /// Appends bytes.
    /// @param bytes     to append
    /// @param announced final size of the buffer, 0 if it is not known
    /// @return false if the request was refused, now or earlier; what it held is then discarded
    bool append(std::string_view bytes, std::size_t announced = 0);
    /// Lets a function append up to `added` bytes to the buffer. It runs under a lock.
    /// @return false if the request was refused, now or earlier
    bool extend(std::size_t added, std::size_t announced,
                const std::function<void(std::string&)>& fill);
    /// Takes the bytes received so far.
    /// @param kept number of them that are kept for the request and count on
    /// @return them, empty if the request was refused
    std::string take(std::size_t kept);
    /// Ends the reception: the request can no longer be refused for its memory, which counts until
    /// the returned object and all copies of it are destroyed.
    /// @param bytes receives what the buffer holds
    /// @return nullptr if the request was refused before
    std::shared_ptr<void> complete(std::string& bytes);

private:
    friend class receive_memory;
    receive_buffer(std::shared_ptr<receive_memory> memory, std::function<void()> refuse)
        : memory_(std::move(memory)), refuse_(std::move(refuse)) {}

    std::shared_ptr<receive_memory> memory_;
    std::function<void()> refuse_;
    std::string text_; ///< guarded by the memory's mutex, as are the members below
    receiving_request request_;
    std::size_t kept_{0}; ///< bytes that were taken and still count
    bool is_listed_{false};
};

/// The memory that the received requests of a process may take. Its functions may be called from
/// any thread.
class receive_memory : public std::enable_shared_from_this<receive_memory> {
public:
    /// Limit of a process that does not know the memory of its machine.
    static constexpr std::size_t default_limit = 48 * mebibyte;

    /// @param limit           bytes that all requests together may take
    /// @param process_metrics receives the counts of refused requests; may be nullptr
    explicit receive_memory(std::size_t limit = default_limit, metrics* process_metrics = nullptr)
        : room_{limit, 0}, metrics_(process_metrics) {}
    receive_memory(const receive_memory&) = delete;
    receive_memory& operator=(const receive_memory&) = delete;

    /// Begins to receive a request.
    /// @param refuse answers the request as refused and closes its connection. Called at most once,
    ///               possibly on another thread, without a lock held.
    std::shared_ptr<receive_buffer> begin(std::function<void()> refuse);
    /// Counts and logs a request that was refused before it was received as a whole.
    /// @param reason what it exceeded
    void record_refusal(std::string_view reason, std::size_t bytes);
    /// Counts and logs that no connections are accepted for now.
    /// @param descriptor the lowest one that is free
    void record_pause(int descriptor);
    /// @return bytes that requests take
    std::size_t used() const;

private:
    friend class receive_buffer;
    struct refused_request {
        std::function<void()> refuse;
        std::size_t bytes{0};
        std::uint32_t stalled_ms{0};
    };

    bool extend(receive_buffer& buffer, std::size_t added, std::size_t announced,
                const std::function<void(std::string&)>& fill);
    bool make_room_locked(receive_buffer& buffer, std::size_t added,
                          std::vector<refused_request>& refused, time_point now);
    void discard_locked(receive_buffer& buffer);
    void resize_locked(receive_buffer& buffer, std::size_t bytes);
    void release(std::size_t bytes);
    void report(const std::vector<refused_request>& refused);

    mutable std::mutex mutex_;
    receive_room room_;
    std::uint64_t last_number_{0};
    std::map<std::uint64_t, receive_buffer*> receiving_; ///< by number
    metrics* metrics_;
};

} // namespace citronseam

#endif
