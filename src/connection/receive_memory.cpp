#include "citronseam/connection/receive_memory.h"

#include <utility>

#include "citronseam/process/log.h"

namespace citronseam {

receive_buffer::~receive_buffer() {
    const std::lock_guard<std::mutex> lock(memory_->mutex_);
    memory_->discard_locked(*this);
}

bool receive_buffer::append(std::string_view bytes, std::size_t announced) {
    return extend(bytes.size(), announced, [bytes](std::string& text) { text += bytes; });
}

bool receive_buffer::extend(std::size_t added, std::size_t announced,
                            const std::function<void(std::string&)>& fill) {
    return memory_->extend(*this, added, announced, fill);
}

std::string receive_buffer::take(std::size_t kept) {
    const std::lock_guard<std::mutex> lock(memory_->mutex_);
    std::string taken = std::exchange(text_, {});
    if (is_listed_) {
        kept_ = kept;
        memory_->resize_locked(*this, request_overhead + kept_);
    }
    return taken;
}

std::shared_ptr<void> receive_buffer::complete(std::string& bytes) {
    const std::lock_guard<std::mutex> lock(memory_->mutex_);
    if (!is_listed_) {
        return nullptr;
    }
    const std::size_t counted = request_.bytes;
    bytes = std::exchange(text_, {});
    request_.bytes = 0; // the returned object counts them now
    memory_->discard_locked(*this);
    return {static_cast<void*>(memory_.get()),
            [memory = memory_, counted](const void*) { memory->release(counted); }};
}

std::shared_ptr<receive_buffer> receive_memory::begin(std::function<void()> refuse) {
    std::shared_ptr<receive_buffer> buffer(
        new receive_buffer(shared_from_this(), std::move(refuse)));
    const std::lock_guard<std::mutex> lock(mutex_);
    buffer->request_.number = ++last_number_;
    buffer->request_.progressed_at = std::chrono::steady_clock::now();
    buffer->is_listed_ = true;
    receiving_[buffer->request_.number] = buffer.get();
    resize_locked(*buffer, request_overhead);
    return buffer;
}

bool receive_memory::extend(receive_buffer& buffer, std::size_t added, std::size_t announced,
                            const std::function<void(std::string&)>& fill) {
    const auto now = std::chrono::steady_clock::now();
    std::vector<refused_request> refused;
    bool is_extended = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        buffer.request_.progressed_at = now;
        std::string& text = buffer.text_;
        const std::size_t capacity =
            choose_receive_capacity(text.size() + added, text.capacity(), announced);
        const bool is_growing = capacity > text.capacity();
        // While a buffer grows, the old one exists beside the new one.
        if (buffer.is_listed_ &&
            make_room_locked(buffer, is_growing ? capacity : 0, refused, now)) {
            if (is_growing) {
                std::string grown; // reserve() of a text that has bytes would double its capacity
                grown.reserve(capacity);
                grown += text;
                text.swap(grown);
                resize_locked(buffer, request_overhead + buffer.kept_ + text.capacity());
            }
            fill(text);
            is_extended = true;
        }
    }
    report(refused);
    return is_extended;
}

/// Refuses requests until the buffer may grow.
/// @return false if the buffer's own request was refused
bool receive_memory::make_room_locked(receive_buffer& buffer, std::size_t added,
                                      std::vector<refused_request>& refused, time_point now) {
    while (added > 0 && !has_receive_room(room_, buffer.request_.bytes, added)) {
        std::vector<receiving_request> requests;
        std::vector<receive_buffer*> buffers;
        for (const auto& [number, listed] : receiving_) {
            requests.push_back(listed->request_);
            buffers.push_back(listed);
        }
        const auto chosen = choose_refused_request(requests, now);
        receive_buffer* loser = chosen ? buffers[*chosen] : &buffer;
        refused.push_back({std::exchange(loser->refuse_, nullptr), loser->request_.bytes,
                           elapsed_ms(loser->request_.progressed_at, now)});
        discard_locked(*loser);
        if (loser == &buffer) {
            return false;
        }
    }
    return true;
}

/// Drops what a request holds. It stays refused if it was not complete.
void receive_memory::discard_locked(receive_buffer& buffer) {
    if (!buffer.is_listed_) {
        return;
    }
    receiving_.erase(buffer.request_.number);
    buffer.is_listed_ = false;
    buffer.text_ = std::string();
    resize_locked(buffer, 0);
}

void receive_memory::resize_locked(receive_buffer& buffer, std::size_t bytes) {
    room_.used += bytes - buffer.request_.bytes; // wraps around when it shrinks
    buffer.request_.bytes = bytes;
}

void receive_memory::release(std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    room_.used -= bytes;
}

std::size_t receive_memory::used() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return room_.used;
}

void receive_memory::record_refusal(std::string_view reason, std::size_t bytes) {
    log_event(log_level::warning, "request_not_received",
              {{"reason", reason}, {"bytes", bytes}, {"used_bytes", used()}});
    if (metrics_ != nullptr) {
        metrics_->count("citronseam_requests_not_received_total",
                        {{"reason", std::string(reason)}});
    }
}

void receive_memory::record_pause(int descriptor) {
    log_event(log_level::warning, "accepting_paused", {{"descriptor", descriptor}});
    if (metrics_ != nullptr) {
        metrics_->count("citronseam_accepting_paused_total");
    }
}

void receive_memory::report(const std::vector<refused_request>& refused) {
    for (const refused_request& request : refused) {
        log_event(log_level::warning, "request_not_received",
                  {{"reason", "memory"},
                   {"bytes", request.bytes},
                   {"stalled_ms", request.stalled_ms},
                   {"limit_bytes", room_.limit}});
        if (metrics_ != nullptr) {
            metrics_->count("citronseam_requests_not_received_total", {{"reason", "memory"}});
        }
        if (request.refuse) {
            request.refuse();
        }
    }
}

} // namespace citronseam
