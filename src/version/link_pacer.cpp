#include "citronseam/version/link_pacer.h"

#include <algorithm>

namespace citronseam {
namespace {

/// Share of a second that a bucket may send at once after a pause.
constexpr std::uint64_t burst_share = 20;

token_bucket bucket_for(std::uint64_t rate, time_point now) {
    return make_bucket(rate, rate / burst_share, now);
}

} // namespace

void set_rates(link_pacer& pacer, const link_rates& rates, time_point now) {
    if (rates == pacer.rates) {
        return;
    }
    pacer.rates = rates;
    pacer.near = bucket_for(rates.near, now);
    pacer.uplink = bucket_for(rates.uplink, now);
    pacer.regions.clear();
}

microseconds take_turn(link_pacer& pacer, const std::string& region, bool is_near,
                       std::uint64_t bytes, time_point now) {
    token_bucket& bucket =
        is_near
            ? pacer.near
            : pacer.regions.try_emplace(region, bucket_for(pacer.rates.region, now)).first->second;
    const microseconds wait = std::max(wait_time(bucket, now), wait_time(pacer.uplink, now));
    take(bucket, bytes, now);
    take(pacer.uplink, bytes, now);
    return wait;
}

} // namespace citronseam
