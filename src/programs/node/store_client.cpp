#include "programs/node/store_client.h"

#include <algorithm>
#include <optional>

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

using platform::store_outcome;

/// A response holds at most 1 MB of rows; base64 and field names make it larger.
constexpr std::size_t max_response_bytes = 4 * mebibyte;
constexpr milliseconds silence_check_interval{100};
/// For each table; further ones are not logged.
constexpr std::size_t max_logged_faults = 1000;

const char* name_of(store_outcome outcome) {
    switch (outcome) {
    case store_outcome::done:
        return "done";
    case store_outcome::condition_failed:
        return "condition_failed";
    case store_outcome::history_lost:
        return "history_lost";
    case store_outcome::refused:
        return "refused";
    case store_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

/// What a call has received. Used on the thread of the http_client until the call is done.
struct store_receipt {
    http_response response;
    buffer_share share;   ///< of the body
    time_point silent_at; ///< when the call ends unless the store sends something
    bool is_done{false};
};

void record_progress(store_receipt& receipt) {
    receipt.silent_at = std::chrono::steady_clock::now() + platform::max_silence;
}

/// Rows that arrive slowly are not thrown away, since the next call would send them again.
void cancel_when_silent(http_client& http, std::uint64_t id,
                        const std::shared_ptr<store_receipt>& receipt) {
    http.post_after(silence_check_interval, [&http, id, receipt] {
        if (receipt->is_done) {
            return;
        }
        if (std::chrono::steady_clock::now() >= receipt->silent_at) {
            http.cancel(id);
            return;
        }
        cancel_when_silent(http, id, receipt);
    });
}

} // namespace

store_client::store_client(io_thread_pool& control, http_client& http, metrics& metric_registry,
                           const std::string& address)
    : control_(control), http_(http), metrics_(metric_registry), base_url_("http://" + address) {}

/// Sends a request to the store.
/// @param wait time within which the store need not answer
void store_client::call(const char* name, http_request request, milliseconds wait,
                        std::function<void(const http_response&)> done) {
    const auto receipt = std::make_shared<store_receipt>();
    receipt->silent_at = std::chrono::steady_clock::now() + wait + platform::max_silence;
    http_observer observer;
    observer.on_head = [receipt](int, const std::vector<http_header>& headers) {
        receipt->response.headers = headers;
        record_progress(*receipt);
    };
    observer.on_data = [this, receipt](std::string_view data) {
        std::string& body = receipt->response.body;
        const std::size_t size = body.size() + data.size();
        if (size > max_response_bytes || !receipt->share.resize(http_.buffers(), size)) {
            return false;
        }
        body += data;
        record_progress(*receipt);
        return true;
    };
    observer.on_done = [this, name, receipt, done = std::move(done)](const http_outcome& outcome) {
        receipt->is_done = true;
        receipt->response.outcome = outcome;
        control_.post([this, name, receipt, done] {
            const http_response& response = receipt->response;
            record_outcome(name, platform::parse_store_outcome(response),
                           response.outcome.is_complete
                               ? "status " + std::to_string(response.outcome.status)
                               : response.outcome.message + " after " +
                                     std::to_string(response.body.size()) + " bytes");
            done(response);
        });
    };
    const std::uint64_t id = http_.send(std::move(request), std::move(observer));
    cancel_when_silent(http_, id, receipt);
}

void store_client::record_outcome(const char* name, store_outcome outcome,
                                  const std::string& message) {
    metrics_.count("citronseam_store_calls_total", {{"call", name}, {"outcome", name_of(outcome)}});
    const bool is_available =
        outcome != store_outcome::refused && outcome != store_outcome::unknown;
    if (is_available == is_available_) {
        return;
    }
    is_available_ = is_available;
    log_event(is_available ? log_level::info : log_level::warning,
              is_available ? "store_regained" : "store_lost",
              {{"call", name}, {"outcome", name_of(outcome)}, {"detail", message}});
}

/// @param[out] outcome of the call
/// @return the rows of a response; nullopt when the call failed or they cannot be parsed
std::optional<platform::row_page> store_client::parse_page(const std::string& table,
                                                           const http_response& response,
                                                           store_outcome& outcome) {
    outcome = platform::parse_store_outcome(response);
    if (outcome != store_outcome::done) {
        return std::nullopt;
    }
    auto page = platform::parse_rows(response, table);
    if (!page) {
        log_event(log_level::warning, "store_answer_unreadable",
                  {{"table", table}, {"reason", page.error().message}});
        outcome = store_outcome::unknown;
        return std::nullopt;
    }
    log_faults(table, page->faults);
    const bool is_new_era =
        learn_era(era_of(page->batch.version), std::chrono::steady_clock::now());
    if (is_new_era && handle_new_era_) {
        handle_new_era_();
    }
    return std::move(*page);
}

/// Logs odd records once, although each read of the table names them again.
void store_client::log_faults(const std::string& table, const std::vector<std::string>& faults) {
    std::set<std::string>& logged = logged_faults_[table];
    for (const std::string& fault : faults) {
        if (logged.size() < max_logged_faults && logged.insert(fault).second) {
            log_event(log_level::warning, "store_record_unreadable",
                      {{"table", table}, {"record", fault}});
        }
    }
}

void store_client::read_table(const std::string& table, batch_handler done) {
    read_page(table, "", {}, std::move(done));
}

void store_client::read_page(const std::string& table, const std::string& first,
                             row_batch collected, batch_handler done) {
    call("read", platform::make_read_request(base_url_, table, first, ""), milliseconds(0),
         [this, table, first, collected = std::move(collected),
          done = std::move(done)](const http_response& response) mutable {
             store_outcome outcome{};
             const auto page = parse_page(table, response, outcome);
             if (!page) {
                 done(outcome, {});
                 return;
             }
             if (!page->has_more) {
                 log_event(log_level::warning, "store_answer_unreadable",
                           {{"table", table}, {"reason", "it does not say whether rows follow"}});
                 done(store_outcome::unknown, {});
                 return;
             }
             const bool is_other_era =
                 collected.version != 0 && era_of(page->batch.version) != era_of(collected.version);
             if (is_other_era) {
                 // The pages do not belong together; the caller reads the table again.
                 done(store_outcome::unknown, {});
                 return;
             }
             // Pages are read one after another, so the table is only as new as the oldest page.
             collected.version = collected.version == 0
                                     ? page->batch.version
                                     : std::min(collected.version, page->batch.version);
             collected.rows.insert(collected.rows.end(), page->batch.rows.begin(),
                                   page->batch.rows.end());
             if (*page->has_more) {
                 // The next page begins at the smallest key after the last one: that key and a
                 // blank.
                 const std::string next = page->batch.rows.back().key + " ";
                 if (next <= first) {
                     log_event(log_level::warning, "store_answer_unreadable",
                               {{"table", table}, {"reason", "a page ends before its first key"}});
                     done(store_outcome::unknown, {});
                     return;
                 }
                 read_page(table, next, std::move(collected), std::move(done));
                 return;
             }
             collected.is_whole = true;
             done(store_outcome::done, collected);
         });
}

void store_client::await_changes(const std::string& table, std::uint64_t after, milliseconds wait,
                                 batch_handler done) {
    call("feed", platform::make_watch_request(base_url_, table, after, wait), wait,
         [this, table, after, done = std::move(done)](const http_response& response) {
             store_outcome outcome{};
             auto page = parse_page(table, response, outcome);
             if (!page) {
                 done(outcome, {});
                 return;
             }
             page->batch.after = after;
             done(store_outcome::done, page->batch);
         });
}

void store_client::write_row(const std::string& table, const std::string& key,
                             const std::string& value, write_handler done) {
    call("write", platform::make_write_request(base_url_, table, key, value), milliseconds(0),
         [done = std::move(done)](const http_response& response) {
             done(platform::parse_write_outcome(response));
         });
}

} // namespace citronseam
