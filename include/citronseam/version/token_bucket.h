/// @file
/// Paces a flow to a rate.
#ifndef CITRONSEAM_VERSION_TOKEN_BUCKET_H
#define CITRONSEAM_VERSION_TOKEN_BUCKET_H

#include <cstdint>

#include "citronseam/process/clock.h"

namespace citronseam {

/// State of a bucket. The level may go below zero: a piece is sent whole, the next one waits
/// longer.
struct token_bucket {
    std::uint64_t rate{0};  ///< bytes a second; 0 does not pace
    std::uint64_t burst{0}; ///< bytes that may go at once after a pause
    double level{0};
    time_point filled_at;
};

/// @return a full bucket
token_bucket make_bucket(std::uint64_t rate, std::uint64_t burst, time_point now) noexcept;

/// @return time to wait before the next piece may go; zero when it may go now
microseconds wait_time(token_bucket& bucket, time_point now) noexcept;

/// Takes the bytes of a piece that goes now.
void take(token_bucket& bucket, std::uint64_t bytes, time_point now) noexcept;

} // namespace citronseam

#endif
