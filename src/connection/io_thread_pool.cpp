#include "citronseam/connection/io_thread_pool.h"

namespace citronseam {

io_thread_pool::io_thread_pool(std::size_t count) : guard_(asio::make_work_guard(context_)) {
    for (std::size_t i = 0; i < count; ++i) {
        threads_.emplace_back([this] { context_.run(); });
    }
}

io_thread_pool::~io_thread_pool() {
    stop();
}

void io_thread_pool::post(std::function<void()> work) {
    asio::post(context_, std::move(work));
}

void io_thread_pool::post_after(microseconds delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, work = std::move(work)](const asio::error_code& ec) {
        if (!ec) {
            work();
        }
    });
}

void io_thread_pool::stop() {
    context_.stop();
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void run_periodically(io_thread_pool& loop, milliseconds interval, std::function<void()> work) {
    loop.post_after(interval, [&loop, interval, work = std::move(work)] {
        work();
        run_periodically(loop, interval, work);
    });
}

} // namespace citronseam
