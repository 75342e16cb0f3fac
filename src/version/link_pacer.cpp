#include "citronseam/version/link_pacer.h"

namespace citronseam {
namespace {

/// Share of a second that a bucket may send at once after a pause.
constexpr std::uint64_t burst_share = 20;

token_bucket bucket_for(std::uint64_t rate, time_point now) {
    return make_bucket(rate, rate / burst_share, now);
}

} // namespace

void set_rates(link_pacer& pacer, std::uint64_t own_rate, std::uint64_t region_rate,
               time_point now) {
    if (own_rate == pacer.own_rate && region_rate == pacer.region_rate) {
        return;
    }
    pacer.own_rate = own_rate;
    pacer.region_rate = region_rate;
    pacer.own = bucket_for(own_rate, now);
    pacer.regions.clear();
}

microseconds take_turn(link_pacer& pacer, const std::string& region, bool is_near,
                       std::uint64_t bytes, time_point now) {
    token_bucket& bucket =
        is_near
            ? pacer.own
            : pacer.regions.try_emplace(region, bucket_for(pacer.region_rate, now)).first->second;
    const microseconds wait = wait_time(bucket, now);
    take(bucket, bytes, now);
    return wait;
}

} // namespace citronseam
