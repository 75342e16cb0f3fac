/// @file
/// Token bucket that limits a rate in bytes per second.
#ifndef CITRONSEAM_VERSION_TOKEN_BUCKET_H
#define CITRONSEAM_VERSION_TOKEN_BUCKET_H

#include <cstdint>

#include "citronseam/process/clock.h"

namespace citronseam {

/// State of a bucket. The balance may become negative: a message is never split, the next one waits
/// longer instead.
struct token_bucket {
    std::uint64_t rate{0};  ///< bytes per second; 0: unlimited
    std::uint64_t burst{0}; ///< capacity in bytes
    double tokens{0};       ///< balance in bytes
    time_point refilled_at;
};

/// @return a full bucket
token_bucket make_bucket(std::uint64_t rate, std::uint64_t burst, time_point now) noexcept;

/// @return time until the next message may be sent; zero if it may be sent now
microseconds wait_time(token_bucket& bucket, time_point now) noexcept;

/// Deducts the bytes of a message that is sent now.
void consume_tokens(token_bucket& bucket, std::uint64_t bytes, time_point now) noexcept;

} // namespace citronseam

#endif
