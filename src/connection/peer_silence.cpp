#include "citronseam/connection/peer_silence.h"

#include <algorithm>

namespace citronseam {
namespace {

/// A check that is later than this many intervals means that the process did not run.
constexpr int intervals_until_stopped = 2;
/// Bytes that waited during a stop are read within this time after it.
constexpr milliseconds waiting_bytes_time{100};

void record_run(peer_silence& silence, const session_timing& timing, time_point now) noexcept {
    if (now - silence.last_run_at > intervals_until_stopped * timing.heartbeat_interval) {
        silence.stopped_at = silence.last_run_at;
        silence.resumed_at = now;
    }
    silence.last_run_at = now;
}

} // namespace

void record_check(peer_silence& silence, const session_timing& timing, time_point now) noexcept {
    record_run(silence, timing, now);
}

void record_receipt(peer_silence& silence, const session_timing& timing, time_point now) noexcept {
    record_run(silence, timing, now);
    time_point sent_at = now;
    if (silence.resumed_at != time_point{} && now - silence.resumed_at <= waiting_bytes_time) {
        // A peer that lives has time for its next heartbeat.
        const milliseconds confirmation = std::min(
            timing.confirmation_timeout.value_or(timing.silence_timeout), timing.silence_timeout);
        sent_at = std::max(silence.stopped_at, now - (timing.silence_timeout - confirmation));
    }
    silence.last_heard_at = std::max(silence.last_heard_at, sent_at);
}

bool is_peer_lost(const peer_silence& silence, const session_timing& timing,
                  time_point now) noexcept {
    return now - silence.last_heard_at > timing.silence_timeout;
}

} // namespace citronseam
