#include "citronseam/version/token_bucket.h"

#include <algorithm>

namespace citronseam {
namespace {

void refill(token_bucket& bucket, time_point now) noexcept {
    const double elapsed = std::chrono::duration<double>(now - bucket.refilled_at).count();
    const double refill_bytes = std::max(elapsed, 0.0) * static_cast<double>(bucket.rate);
    bucket.tokens = std::min(bucket.tokens + refill_bytes, static_cast<double>(bucket.burst));
    bucket.refilled_at = now;
}

} // namespace

token_bucket make_bucket(std::uint64_t rate, std::uint64_t burst, time_point now) noexcept {
    return {rate, burst, static_cast<double>(burst), now};
}

microseconds wait_time(token_bucket& bucket, time_point now) noexcept {
    if (bucket.rate == 0) {
        return microseconds(0);
    }
    refill(bucket, now);
    if (bucket.tokens > 0) {
        return microseconds(0);
    }
    constexpr double microseconds_in_second = 1e6;
    const double wait = (1 - bucket.tokens) / static_cast<double>(bucket.rate);
    return microseconds(static_cast<std::int64_t>(wait * microseconds_in_second) + 1);
}

void consume_tokens(token_bucket& bucket, std::uint64_t bytes, time_point now) noexcept {
    if (bucket.rate == 0) {
        return;
    }
    refill(bucket, now);
    bucket.tokens -= static_cast<double>(bytes);
}

} // namespace citronseam
