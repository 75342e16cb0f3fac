/// @file
/// Limits the memory of all responses that a process holds until they are complete.
#ifndef CITRONSEAM_REQUEST_BUFFER_BUDGET_H
#define CITRONSEAM_REQUEST_BUFFER_BUDGET_H

#include <cstddef>

#include "citronseam/process/sizes.h"

namespace citronseam {

/// Bytes that all responses together may take.
struct buffer_budget {
    std::size_t limit{32 * mebibyte};
    std::size_t used{0};
};

/// One response's part of a budget, which it gives back when it is destroyed.
class buffer_share {
public:
    buffer_share() = default;
    ~buffer_share();
    buffer_share(buffer_share&& other) noexcept;
    buffer_share& operator=(buffer_share&& other) noexcept;
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /// Changes the size of the part. It may grow while as much as it then has stays free, so that
    /// responses without end leave room for the others.
    /// @param budget must outlive the part; the same in each call
    /// @return false, with the size as it was, if it may not grow to the size
    bool resize(buffer_budget& budget, std::size_t size) noexcept;

private:
    buffer_budget* budget_{nullptr};
    std::size_t size_{0};
};

} // namespace citronseam

#endif
