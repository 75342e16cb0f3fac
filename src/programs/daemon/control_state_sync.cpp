#include "programs/daemon/control_state_sync.h"

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// Shorter than the usual age up to which evidence allows requests: evidence does not advance while
/// a newer configuration is missing.
constexpr milliseconds configuration_reply_timeout{2500};

/// Each process expires notices by its own clock; the bound limits a notice with a wrong duration.
constexpr milliseconds max_notice_duration{3600000};

std::uint64_t to_timestamp_ms(time_point moment) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(moment.time_since_epoch()).count());
}

time_point from_timestamp_ms(std::uint64_t timestamp_ms) {
    return time_point{} + milliseconds(static_cast<std::int64_t>(timestamp_ms));
}

zone_notice decode_notice(const wire::zone_notice& message, time_point now) {
    zone_notice notice;
    notice.availability_zone = std::string(view(message.availability_zone()));
    notice.stamp_ms = message.stamp_ms();
    notice.is_out = message.is_out();
    const milliseconds left(static_cast<std::int64_t>(message.expires_in_ms()));
    notice.expires_at = now + std::clamp(left, milliseconds(0), max_notice_duration);
    return notice;
}

} // namespace

control_state_sync::control_state_sync(io_thread_pool& control, metrics& process_metrics)
    : control_(control), metrics_(process_metrics), view_(std::make_shared<control_state>()) {}

control_view control_state_sync::view() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return view_;
}

void control_state_sync::on_change(std::function<void(const control_view&)> callback) {
    change_callback_ = std::move(callback);
}

void control_state_sync::fill_heartbeat(wire::heartbeatT& heartbeat, std::uint64_t peer) const {
    const time_point now = std::chrono::steady_clock::now();
    control_view current;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        current = view_;
        const auto found = timestamps_by_session_.find(peer);
        heartbeat.echo_ms = found == timestamps_by_session_.end() ? 0 : found->second.received_ms;
    }
    heartbeat.stamp_ms = to_timestamp_ms(now);
    heartbeat.generation = accepted_generation(*current);
    heartbeat.has_evidence = current->has_evidence;
    heartbeat.evidence_age_ms = elapsed_ms(current->evidence, now);
    for (const auto& [zone, notice] : current->notices) {
        if (notice.expires_at <= now) {
            continue;
        }
        auto row = std::make_unique<wire::zone_noticeT>();
        row->availability_zone = zone;
        row->stamp_ms = notice.stamp_ms;
        row->expires_in_ms = elapsed_ms(now, notice.expires_at);
        row->is_out = notice.is_out;
        heartbeat.notices.push_back(std::move(row));
    }
}

void control_state_sync::count_bytes(peer_session& session) const {
    metrics_.count("citronseam_wire_bytes_total", {{"direction", "sent"}},
                   static_cast<double>(session.consume_sent_bytes()));
    metrics_.count("citronseam_wire_bytes_total", {{"direction", "received"}},
                   static_cast<double>(session.consume_received_bytes()));
}

bool control_state_sync::handle_message(const std::shared_ptr<peer_session>& from,
                                        const wire::envelope& message) {
    switch (message.body_type()) {
    case wire::body::heartbeat:
        handle_heartbeat(from, *message.body_as_heartbeat());
        return true;
    case wire::body::configuration_request:
        handle_configuration_request(from, *message.body_as_configuration_request());
        return true;
    case wire::body::configuration_body:
        handle_configuration(*message.body_as_configuration_body());
        // Runs after the configuration was applied, so no heartbeat in between requests it again.
        control_.post([this, peer = from->number()] { end_configuration_request(peer); });
        return true;
    default:
        return false;
    }
}

void control_state_sync::handle_heartbeat(const std::shared_ptr<peer_session>& from,
                                          const wire::heartbeat& message) {
    const time_point now = std::chrono::steady_clock::now();
    time_point echoed_at{};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        peer_timestamps& timestamps = timestamps_by_session_[from->number()];
        timestamps.received_ms = message.stamp_ms();
        if (message.echo_ms() != 0) {
            echoed_at = from_timestamp_ms(message.echo_ms());
            timestamps.echoed_at = std::max(timestamps.echoed_at, echoed_at);
        }
    }
    std::vector<zone_notice> notices;
    if (message.notices() != nullptr) {
        for (const auto* notice : *message.notices()) {
            notices.push_back(decode_notice(*notice, now));
        }
    }
    const bool has_evidence = message.has_evidence() && echoed_at != time_point{};
    // The peer's evidence had that age when it sent the heartbeat, which was after the echoed
    // timestamp. So this time is not later than the evidence.
    const time_point evidence = echoed_at - milliseconds(message.evidence_age_ms());
    const std::uint64_t generation = message.generation();
    control_.post([this, from, notices = std::move(notices), has_evidence, evidence, generation] {
        bool is_changed = false;
        for (const auto& notice : notices) {
            is_changed = apply_notice(state_, notice) || is_changed;
        }
        if (generation > accepted_generation(state_)) {
            request_configuration(*from, generation);
        } else if (has_evidence) {
            // This process holds everything that the peer holds, so the peer's evidence applies
            // here.
            advance_evidence(state_, evidence);
            is_changed = true;
        }
        if (is_changed) {
            publish();
        }
    });
}

/// A body may take seconds on a slow link that also carries live requests, so one copy is requested
/// at a time. Runs on the control thread.
void control_state_sync::request_configuration(peer_session& from, std::uint64_t generation) {
    const time_point now = std::chrono::steady_clock::now();
    if (is_outstanding(configuration_request_, configuration_reply_timeout, now)) {
        return;
    }
    wire::configuration_requestT request;
    request.after = accepted_generation(state_);
    if (!from.send(make_frame(request))) {
        return;
    }
    configuration_request_ = {from.number(), now};
    log_event(log_level::info, "configuration_requested",
              {{"generation", generation}, {"after", request.after}, {"session", from.number()}});
}

/// Runs on the control thread.
void control_state_sync::end_configuration_request(std::uint64_t peer) {
    if (configuration_request_.session == peer) {
        configuration_request_ = {};
    }
}

void control_state_sync::handle_configuration_request(
    const std::shared_ptr<peer_session>& from, const wire::configuration_request& message) const {
    const control_view current = view();
    if (accepted_generation(*current) <= message.after()) {
        return;
    }
    wire::configuration_bodyT body;
    body.generation = current->accepted->generation;
    body.hash = current->accepted->hash;
    body.attempt = current->accepted->attempt;
    body.body = current->accepted->body;
    from->send(make_frame(std::move(body)));
}

void control_state_sync::handle_configuration(const wire::configuration_body& message) {
    log_event(
        log_level::info, "configuration_received",
        {{"generation", message.generation()}, {"bytes", citronseam::view(message.body()).size()}});
    if (message.generation() <= accepted_generation(*view())) {
        return;
    }
    auto accepted = parse_accepted_configuration(message.generation(),
                                                 std::string(citronseam::view(message.hash())),
                                                 std::string(citronseam::view(message.attempt())),
                                                 std::string(citronseam::view(message.body())));
    if (!accepted) {
        metrics_.count("citronseam_configuration_rejected_total");
        log_event(log_level::error, "configuration_rejected",
                  {{"generation", message.generation()}, {"reason", accepted.error().message}});
        return;
    }
    control_.post([this, accepted = std::move(*accepted)] { apply_configuration(accepted); });
}

void control_state_sync::remove_session(std::uint64_t peer) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        timestamps_by_session_.erase(peer);
    }
    control_.post([this, peer] { end_configuration_request(peer); });
}

void control_state_sync::apply_configuration(
    std::shared_ptr<const accepted_configuration> accepted) {
    const std::uint64_t before = accepted_generation(state_);
    if (!install_configuration(state_, std::move(accepted))) {
        return;
    }
    log_event(log_level::info, "configuration_in_force",
              {{"generation", accepted_generation(state_)}, {"before", before}});
    metrics_.set("citronseam_generation", {}, static_cast<double>(accepted_generation(state_)));
    publish();
}

void control_state_sync::post_notice(zone_notice notice) {
    control_.post([this, notice = std::move(notice)] {
        if (apply_notice(state_, notice)) {
            log_event(log_level::info, "zone_notice",
                      {{"availability_zone", notice.availability_zone},
                       {"out", notice.is_out ? "true" : "false"}});
            publish();
        }
    });
}

void control_state_sync::post_evidence(time_point moment) {
    control_.post([this, moment] {
        advance_evidence(state_, moment);
        publish();
    });
}

time_point control_state_sync::last_echo(std::uint64_t peer) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = timestamps_by_session_.find(peer);
    return found == timestamps_by_session_.end() ? time_point{} : found->second.echoed_at;
}

void control_state_sync::publish() {
    expire_notices(state_, std::chrono::steady_clock::now());
    auto copy = std::make_shared<const control_state>(state_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        view_ = copy;
    }
    if (change_callback_) {
        change_callback_(copy);
    }
}

} // namespace citronseam
