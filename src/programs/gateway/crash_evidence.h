/// @file
/// What the gateways know together of lost backend servers, and which requests they refuse for it.
#ifndef CITRONSEAM_PROGRAMS_GATEWAY_CRASH_EVIDENCE_H
#define CITRONSEAM_PROGRAMS_GATEWAY_CRASH_EVIDENCE_H

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/wire_message.h"
#include "citronseam/request/crash_attribution.h"
#include "citronseam/request/silent_attempts.h"

namespace citronseam {

/// Thread-safe access to the crash attribution of a gateway. Changes are sent to all gateways,
/// those of some milliseconds together: the loss of one server ends many requests.
class crash_evidence {
public:
    /// @param control loop on which reports are sent
    explicit crash_evidence(io_thread_pool& control) : control_(control) {}

    /// Sets the function that sends a frame to all other gateways. It runs on the control thread.
    void set_broadcast(std::function<void(const shared_frame&)> broadcast);

    /// Sets the function that gets the causes of crashes when they change and a loss that this
    /// gateway saw has a part in them. It runs on the control thread.
    void set_cause_handler(std::function<void(const std::vector<trait_set>&)> handle);
    /// Adds a cause that was found before this gateway started.
    void restore_cause(const trait_set& traits, milliseconds expires_in);

    /// Records that a server was lost while it may have been running a request.
    void record_loss(const lost_server& server, crash_suspect suspect);
    /// Records that a request was given up while its server was silent.
    void record_silence(silent_attempt attempt);
    /// Records that a server sent something.
    void record_life(const lost_server& server);
    /// Records that a server is listed no more, although it did not say that it drains.
    void record_gone(const lost_server& server);
    /// Records that a server is listed again: if it counts as lost since it fell silent, it is not.
    void record_listed(const lost_server& server);
    /// Records that a server answered a request.
    void record_answer(const lost_server& server, time_point sent_at);
    /// Records that a server went on after it began to answer a request with these traits.
    void record_survival(const std::vector<std::uint64_t>& traits);

    /// Applies a report of another gateway.
    void apply(const wire::server_loss_report& report);
    void apply(const wire::survival_report& report);

    /// @return whether a request with these traits must not be sent to a server
    bool is_refused(const std::vector<std::uint64_t>& traits);
    /// @return time until the newest crash is forgotten
    milliseconds expires_in() const;
    /// @return frames that send all crashes to another gateway
    std::vector<shared_frame> make_report_frames() const;

private:
    void add_loss(const server_crash& loss, time_point now);
    void update_causes(time_point now);
    void send_later();
    void send_pending();

    io_thread_pool& control_;
    mutable std::mutex mutex_;
    crash_attribution state_;
    silent_servers silent_;
    std::function<void(const shared_frame&)> broadcast_;
    std::function<void(const std::vector<trait_set>&)> handle_causes_;
    bool has_own_losses_{false};
    std::map<std::pair<std::string, std::uint64_t>, server_crash> pending_losses_;
    std::vector<std::uint64_t> pending_cleared_;
    bool is_sending_scheduled_{false};
    time_point last_sent_at_;              ///< when reports were last sent
    std::atomic<bool> has_crashes_{false}; ///< saves the lock for each request when there are none
    std::atomic<bool> has_silence_{false}; ///< saves it for each part of a response
};

} // namespace citronseam

#endif
