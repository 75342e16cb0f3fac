#include "programs/entry/configuration_poller.h"

#include "citronseam/process/log.h"

namespace citronseam {

configuration_poller::configuration_poller(io_thread_pool& control, table_client& store,
                                           control_state_sync& state_sync, metrics& process_metrics)
    : control_(control), store_(store), state_sync_(state_sync), metrics_(process_metrics) {}

void configuration_poller::start(std::function<milliseconds()> poll_interval) {
    poll_interval_ = std::move(poll_interval);
    control_.post([this] { read_head_row(); });
}

void configuration_poller::read_head_row() {
    const time_point requested_at = std::chrono::steady_clock::now();
    store_.read(tables::configuration, head_row_key, [this, requested_at](result<table_row> row) {
        control_.post(
            [this, requested_at, row = std::move(row)] { handle_head_row(row, requested_at); });
    });
}

void configuration_poller::schedule_read() {
    control_.post_after(poll_interval_(), [this] { read_head_row(); });
}

void configuration_poller::handle_head_row(const result<table_row>& row, time_point requested_at) {
    const bool is_absent = !row && row.error().code == error_code::not_found;
    const bool is_reachable = row.has_value() || is_absent;
    if (is_reachable != is_reachable_) {
        is_reachable_ = is_reachable;
        log_event(is_reachable ? log_level::info : log_level::warning,
                  is_reachable ? "store_reachable" : "store_unreachable",
                  {{"reason", is_reachable ? std::string("none") : row.error().message}});
    }
    metrics_.set("citronseam_store_reachable", {}, is_reachable ? 1 : 0);
    if (!row) {
        schedule_read();
        return;
    }
    const auto head = parse_head(row->value);
    if (!head) {
        log_event(log_level::error, "head_unreadable", {{"reason", head.error().message}});
        schedule_read();
        return;
    }
    if (head->generation > accepted_generation(*state_sync_.view())) {
        fetch_configuration(*head, requested_at);
        return;
    }
    // The row held no higher generation than the one in force, so the latter was the newest when
    // the row was requested.
    state_sync_.post_evidence(requested_at);
    schedule_read();
}

void configuration_poller::fetch_configuration(const configuration_head& head,
                                               time_point requested_at) {
    store_.get_object(head.hash, [this, head, requested_at](result<std::string> body) {
        control_.post([this, head, requested_at, body = std::move(body)] {
            if (body) {
                auto accepted =
                    parse_accepted_configuration(head.generation, head.hash, head.attempt, *body);
                if (accepted) {
                    state_sync_.apply_configuration(*accepted);
                    state_sync_.post_evidence(requested_at);
                } else {
                    log_event(
                        log_level::error, "configuration_rejected",
                        {{"generation", head.generation}, {"reason", accepted.error().message}});
                }
            }
            schedule_read();
        });
    });
}

} // namespace citronseam
