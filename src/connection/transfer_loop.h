/// @file
/// Drives libcurl transfers by socket events.
///
/// libcurl reports which sockets it waits for, asio reports when one is ready, and only the
/// transfer on that socket is processed. `curl_multi_perform` would visit all transfers at each
/// event.
#ifndef CITRONSEAM_CONNECTION_TRANSFER_LOOP_H
#define CITRONSEAM_CONNECTION_TRANSFER_LOOP_H

#include <functional>
#include <map>
#include <memory>
#include <thread>

#include <asio.hpp>
#include <curl/curl.h>

namespace citronseam {

/// One thread that runs transfers. add() and remove() must be called on that thread, or after
/// stop().
class transfer_loop {
public:
    using done_handler = std::function<void(CURL*, CURLcode)>;

    /// @param handle_done called on the thread for each completed transfer; it must remove() it
    explicit transfer_loop(done_handler handle_done);
    ~transfer_loop();
    transfer_loop(const transfer_loop&) = delete;
    transfer_loop& operator=(const transfer_loop&) = delete;

    /// Runs a function on the thread. May be called from any thread.
    void post(std::function<void()> work);
    /// Runs a function on the thread after a delay. May be called from any thread.
    void post_after(std::chrono::milliseconds delay, std::function<void()> work);
    /// Stops and joins the thread. Unfinished transfers are not removed.
    void stop();

    /// Starts a transfer.
    void add(CURL* easy);
    /// Removes a transfer, finished or not.
    void remove(CURL* easy);

private:
    struct watched_socket;
    using watched_pointer = std::shared_ptr<watched_socket>;

    static int handle_socket(CURL* easy, curl_socket_t socket, int poll_events, void* loop,
                             void* state);
    static int handle_timer(CURLM* multi, long timeout_ms, void* loop);

    void watch(curl_socket_t socket, int poll_events);
    void unwatch(curl_socket_t socket);
    void wait_readable(const watched_pointer& watched);
    void wait_writable(const watched_pointer& watched);
    void process_events(curl_socket_t socket, int events);
    void report_completed();

    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{context_.get_executor()};
    asio::steady_timer timer_{context_};
    CURLM* multi_;
    done_handler handle_done_;
    std::map<curl_socket_t, watched_pointer> sockets_;
    std::thread thread_;
};

} // namespace citronseam

#endif
