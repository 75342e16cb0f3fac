#include "programs/entry/configuration_poller.h"

#include "citronseam/process/log.h"

namespace citronseam {

head_watch::head_watch(io_threads& control, table_client& store, control_hub& hub, metrics& numbers)
    : control_(control), store_(store), hub_(hub), metrics_(numbers) {}

void head_watch::start(std::function<milliseconds()> interval) {
    interval_ = std::move(interval);
    control_.post([this] { read_head(); });
}

void head_watch::read_head() {
    const time_point asked = std::chrono::steady_clock::now();
    store_.read(tables::configuration, head_row_key, [this, asked](result<table_row> row) {
        control_.post([this, asked, row = std::move(row)] { handle_head(row, asked); });
    });
}

void head_watch::read_later() {
    control_.post_after(interval_(), [this] { read_head(); });
}

void head_watch::handle_head(const result<table_row>& row, time_point asked) {
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
        read_later();
        return;
    }
    const auto head = parse_head(row->value);
    if (!head) {
        log_event(log_level::error, "head_unreadable", {{"reason", head.error().message}});
        read_later();
        return;
    }
    if (head->generation > generation_of(*hub_.view())) {
        fetch_body(*head, asked);
        return;
    }
    // The row had no higher generation when it was asked for, so what is in force was the newest.
    hub_.take_evidence_later(asked);
    read_later();
}

void head_watch::fetch_body(const configuration_head& head, time_point asked) {
    store_.get_object(head.hash, [this, head, asked](result<std::string> body) {
        control_.post([this, head, asked, body = std::move(body)] {
            if (body) {
                auto accepted = read_accepted(head.generation, head.hash, head.attempt, *body);
                if (accepted) {
                    hub_.take(*accepted);
                    hub_.take_evidence_later(asked);
                } else {
                    log_event(
                        log_level::error, "configuration_rejected",
                        {{"generation", head.generation}, {"reason", accepted.error().message}});
                }
            }
            read_later();
        });
    });
}

} // namespace citronseam
