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

/// @param[out] outcome of the call
/// @return the rows of a response; nullopt when the call failed or they cannot be parsed
std::optional<platform::row_page>
parse_page(const std::string& table, const http_response& response, store_outcome& outcome) {
    outcome = platform::parse_store_outcome(response);
    if (outcome != store_outcome::done) {
        return std::nullopt;
    }
    auto page = platform::parse_rows(response);
    if (!page) {
        log_event(log_level::warning, "store_answer_unreadable",
                  {{"table", table}, {"reason", page.error().message}});
        outcome = store_outcome::unknown;
        return std::nullopt;
    }
    return std::move(*page);
}

} // namespace

store_client::store_client(io_thread_pool& control, http_client& http, metrics& metric_registry,
                           const std::string& address)
    : control_(control), http_(http), metrics_(metric_registry), base_url_("http://" + address) {}

void store_client::call(const char* name, http_request request,
                        std::function<void(http_response)> done) {
    http_.fetch(std::move(request), max_response_bytes,
                [this, name, done = std::move(done)](http_response response) {
                    control_.post([this, name, done, response = std::move(response)] {
                        record_outcome(name, platform::parse_store_outcome(response),
                                       response.outcome.is_complete
                                           ? "status " + std::to_string(response.outcome.status)
                                           : response.outcome.message);
                        done(response);
                    });
                });
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

void store_client::read_table(const std::string& table, batch_handler done) {
    read_page(table, "", {}, std::move(done));
}

void store_client::read_page(const std::string& table, const std::string& first,
                             row_batch collected, batch_handler done) {
    call("read", platform::make_read_request(base_url_, table, first, ""),
         [this, table, collected = std::move(collected),
          done = std::move(done)](const http_response& response) mutable {
             store_outcome outcome{};
             const auto page = parse_page(table, response, outcome);
             if (!page) {
                 done(outcome, {});
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
             if (page->has_more && !page->batch.rows.empty()) {
                 // The next page begins at the smallest key after the last one: that key and a
                 // blank.
                 const std::string next = page->batch.rows.back().key + "%20";
                 read_page(table, next, std::move(collected), std::move(done));
                 return;
             }
             collected.is_whole = true;
             done(store_outcome::done, collected);
         });
}

void store_client::await_changes(const std::string& table, std::uint64_t after, milliseconds wait,
                                 batch_handler done) {
    call("feed", platform::make_watch_request(base_url_, table, after, wait),
         [table, after, done = std::move(done)](const http_response& response) {
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
    call("write", platform::make_write_request(base_url_, table, key, value),
         [done = std::move(done)](const http_response& response) {
             done(platform::parse_store_outcome(response));
         });
}

} // namespace citronseam
