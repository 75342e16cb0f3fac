#include "citronseam/version/link_pacer.h"

#include <algorithm>

namespace citronseam {
namespace {

/// A full bucket holds 1/20 of a second's bytes.
constexpr std::uint64_t burst_divisor = 20;

token_bucket make_link_bucket(std::uint64_t rate, time_point now) {
    return make_bucket(rate, rate / burst_divisor, now);
}

} // namespace

void set_rates(link_pacer& pacer, const link_rates& rates, time_point now) {
    if (rates == pacer.rates) {
        return;
    }
    pacer.rates = rates;
    pacer.same_region = make_link_bucket(rates.same_region, now);
    pacer.uplink = make_link_bucket(rates.uplink, now);
    pacer.regions.clear();
}

microseconds reserve_send(link_pacer& pacer, const std::string& region, bool is_same_region,
                          std::uint64_t bytes, time_point now) {
    token_bucket& bucket =
        is_same_region
            ? pacer.same_region
            : pacer.regions.try_emplace(region, make_link_bucket(pacer.rates.remote_region, now))
                  .first->second;
    const microseconds wait = std::max(wait_time(bucket, now), wait_time(pacer.uplink, now));
    consume_tokens(bucket, bytes, now);
    consume_tokens(pacer.uplink, bytes, now);
    return wait;
}

} // namespace citronseam
