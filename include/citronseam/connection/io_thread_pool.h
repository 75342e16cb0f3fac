/// @file
/// An event loop and the threads that run it.
#ifndef CITRONSEAM_CONNECTION_IO_THREAD_POOL_H
#define CITRONSEAM_CONNECTION_IO_THREAD_POOL_H

#include <functional>
#include <thread>
#include <vector>

#include <asio.hpp>

#include "citronseam/process/clock.h"

namespace citronseam {

/// Runs an asio event loop on its own threads from construction to stop().
class io_thread_pool {
public:
    /// @param count number of threads; with one thread the handlers never run concurrently
    explicit io_thread_pool(std::size_t count);
    ~io_thread_pool();
    io_thread_pool(const io_thread_pool&) = delete;
    io_thread_pool& operator=(const io_thread_pool&) = delete;

    /// @return the event loop
    asio::io_context& context() noexcept { return context_; }

    /// Runs a function on one of the threads.
    void post(std::function<void()> work);
    /// Runs a function on one of the threads after a delay.
    void post_after(microseconds delay, std::function<void()> work);
    /// Stops the loop and joins the threads. Handlers that have not run yet never run.
    void stop();

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::vector<std::thread> threads_;
};

/// Calls a function periodically on the loop until the loop stops.
/// @param loop     event loop; must outlive the calls
/// @param interval time between the end of one call and the next
/// @param work     the function
void run_periodically(io_thread_pool& loop, milliseconds interval, std::function<void()> work);

} // namespace citronseam

#endif
