/// @file
/// Limits the memory of what a process holds of many messages, such as responses until they are
/// complete.
#ifndef CITRONSEAM_REQUEST_BUFFER_BUDGET_H
#define CITRONSEAM_REQUEST_BUFFER_BUDGET_H

#include <atomic>
#include <cstddef>
#include <memory>

#include "citronseam/process/sizes.h"

namespace citronseam {

/// Bytes that all messages together may take. Parts that grow at the same moment on several threads
/// may exceed it by as much.
struct buffer_budget {
    explicit buffer_budget(std::size_t bytes = default_limit) : limit(bytes) {}

    static constexpr std::size_t default_limit = 32 * mebibyte;
    const std::size_t limit;
    std::atomic<std::size_t> used{0};
};

/// One message's part of a budget, which it gives back when it is destroyed.
class buffer_share {
public:
    buffer_share() = default;
    ~buffer_share();
    buffer_share(buffer_share&& other) noexcept;
    buffer_share& operator=(buffer_share&& other) noexcept;
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /// Changes the size of the part. It may grow while as much as it then has stays free, so that
    /// messages without end leave room for the others.
    /// @param budget the same in each call
    /// @return false, with the size as it was, if it may not grow to the size
    bool resize(const std::shared_ptr<buffer_budget>& budget, std::size_t size) noexcept;

private:
    std::shared_ptr<buffer_budget> budget_;
    std::size_t size_{0};
};

} // namespace citronseam

#endif
