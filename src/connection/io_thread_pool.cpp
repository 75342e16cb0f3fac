#include "citronseam/connection/io_thread_pool.h"

namespace citronseam {

io_threads::io_threads(std::size_t count) : guard_(asio::make_work_guard(context_)) {
    for (std::size_t i = 0; i < count; ++i) {
        threads_.emplace_back([this] { context_.run(); });
    }
}

io_threads::~io_threads() {
    stop();
}

void io_threads::post(std::function<void()> work) {
    asio::post(context_, std::move(work));
}

void io_threads::post_after(microseconds delay, std::function<void()> work) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, work = std::move(work)](const asio::error_code& ec) {
        if (!ec) {
            work();
        }
    });
}

void io_threads::stop() {
    context_.stop();
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void repeat(io_threads& loop, milliseconds interval, std::function<void()> work) {
    loop.post_after(interval, [&loop, interval, work = std::move(work)] {
        work();
        repeat(loop, interval, work);
    });
}

} // namespace citronseam
