#include "programs/node/store_client.h"

#include <algorithm>
#include <optional>

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

using platform::store_outcome;

/// Answers hold at most 1 MB of rows, which base64 and field names make longer.
constexpr std::size_t largest_answer = 4 * mebibyte;

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
/// @return the rows of an answer; nothing when there are none or they cannot be read
std::optional<platform::row_page> take_page(const std::string& table, const http_answer& answer,
                                            store_outcome& outcome) {
    outcome = platform::outcome_of(answer);
    if (outcome != store_outcome::done) {
        return std::nullopt;
    }
    auto page = platform::parse_rows(answer.body);
    if (!page) {
        log_event(log_level::warning, "store_answer_unreadable",
                  {{"table", table}, {"reason", page.error().message}});
        outcome = store_outcome::unknown;
        return std::nullopt;
    }
    return std::move(*page);
}

} // namespace

store_client::store_client(io_threads& control, http_client& http, metrics& numbers,
                           const std::string& address)
    : control_(control), http_(http), numbers_(numbers), base_("http://" + address) {}

void store_client::call(const char* name, http_request request,
                        std::function<void(http_answer)> done) {
    http_.fetch(std::move(request), largest_answer,
                [this, name, done = std::move(done)](http_answer answer) {
                    control_.post([this, name, done, answer = std::move(answer)] {
                        note_outcome(name, platform::outcome_of(answer),
                                     answer.outcome.is_complete
                                         ? "status " + std::to_string(answer.outcome.status)
                                         : answer.outcome.message);
                        done(answer);
                    });
                });
}

void store_client::note_outcome(const char* name, store_outcome outcome,
                                const std::string& message) {
    numbers_.count("citronseam_store_calls_total", {{"call", name}, {"outcome", name_of(outcome)}});
    const bool is_answering =
        outcome != store_outcome::refused && outcome != store_outcome::unknown;
    if (is_answering == is_answering_) {
        return;
    }
    is_answering_ = is_answering;
    log_event(is_answering ? log_level::info : log_level::warning,
              is_answering ? "store_regained" : "store_lost",
              {{"call", name}, {"outcome", name_of(outcome)}, {"detail", message}});
}

void store_client::read_table(const std::string& table, batch_handler done) {
    read_page(table, "", {}, std::move(done));
}

void store_client::read_page(const std::string& table, const std::string& first,
                             row_batch collected, batch_handler done) {
    call("read", platform::read_rows(base_, table, first, ""),
         [this, table, collected = std::move(collected),
          done = std::move(done)](const http_answer& answer) mutable {
             store_outcome outcome{};
             const auto page = take_page(table, answer, outcome);
             if (!page) {
                 done(outcome, {});
                 return;
             }
             // Pages are read one after another; the whole is as old as the first of them.
             collected.version = collected.version == 0
                                     ? page->batch.version
                                     : std::min(collected.version, page->batch.version);
             collected.rows.insert(collected.rows.end(), page->batch.rows.begin(),
                                   page->batch.rows.end());
             if (page->has_more && !page->batch.rows.empty()) {
                 // The next page begins at the first key after the last one: a blank follows it.
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
    call("feed", platform::await_changes(base_, table, after, wait),
         [table, done = std::move(done)](const http_answer& answer) {
             store_outcome outcome{};
             const auto page = take_page(table, answer, outcome);
             if (!page) {
                 done(outcome, {});
                 return;
             }
             done(store_outcome::done, page->batch);
         });
}

void store_client::write_row(const std::string& table, const std::string& key,
                             const std::string& value, write_handler done) {
    call("write", platform::write_row(base_, table, key, value),
         [done = std::move(done)](const http_answer& answer) {
             done(platform::outcome_of(answer));
         });
}

} // namespace citronseam
