#include "citronseam/request/buffer_budget.h"

#include <utility>

namespace citronseam {

buffer_share::~buffer_share() {
    if (budget_ != nullptr) {
        budget_->used -= size_;
    }
}

buffer_share::buffer_share(buffer_share&& other) noexcept
    : budget_(std::move(other.budget_)), size_(std::exchange(other.size_, 0)) {}

buffer_share& buffer_share::operator=(buffer_share&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(size_, other.size_);
    return *this;
}

bool buffer_share::resize(const std::shared_ptr<buffer_budget>& budget, std::size_t size) noexcept {
    const std::size_t used = budget->used - size_ + size;
    const bool is_growing = size > size_;
    if (is_growing && (used > budget->limit || size > budget->limit - used)) {
        return false;
    }
    budget_ = budget;
    budget->used += size - size_; // wraps around when it shrinks
    size_ = size;
    return true;
}

} // namespace citronseam
