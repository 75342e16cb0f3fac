#include "programs/agent/key_claim.h"

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

constexpr milliseconds retry_interval{250};
/// A larger body is stored in the object store.
constexpr std::size_t max_inline_body_bytes = 32 * kibibyte;

/// Rows are JSON text; a body with non-ASCII bytes, which may not be UTF-8, is stored in the object
/// store.
bool is_ascii(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](char letter) { return static_cast<unsigned char>(letter) < 128; });
}

} // namespace

key_claim::key_claim(agent_context& context, std::string row, std::string attempt,
                     std::uint64_t fingerprint, milliseconds retention)
    : context_(context), row_name_(std::move(row)),
      retry_deadline_(std::chrono::steady_clock::now() + retention) {
    record_.attempt = std::move(attempt);
    record_.agent = context.options.instance;
    record_.fingerprint = fingerprint;
    record_.expires_at_ms = wall_clock_ms() + static_cast<std::uint64_t>(retention.count());
}

void key_claim::start(std::function<void(claim_outcome)> done) {
    done_ = std::move(done);
    context_.store.insert(tables::keys, row_name_, to_json(record_),
                          [self = shared_from_this()](result<table_row> written) {
                              if (!written) {
                                  self->handle_insert_error(written.error());
                                  return;
                              }
                              self->row_tag_ = written->tag;
                              self->finish({});
                          });
}

void key_claim::handle_insert_error(const error& problem) {
    if (problem.code == error_code::precondition_failed ||
        problem.code == error_code::outcome_unknown) {
        read_existing_row();
        return;
    }
    context_.process_metrics.count("citronseam_key_claims_total",
                                   {{"outcome", "store_unavailable"}});
    finish({refusal::store_unavailable, run_verdict::not_run, problem.message, false, {}});
}

void key_claim::read_existing_row() {
    context_.store.read(tables::keys, row_name_,
                        [self = shared_from_this()](result<table_row> row) {
                            if (!row) {
                                // The insert may have taken effect, but nothing was run. The row is
                                // removed as soon as the store responds; otherwise a later request
                                // with this key would find a claim that never gets a result.
                                self->release();
                                self->finish({refusal::store_unavailable,
                                              run_verdict::not_run,
                                              row.error().message,
                                              false,
                                              {}});
                                return;
                            }
                            const auto found = parse_idempotency_record(row->value);
                            if (!found) {
                                self->finish({refusal::store_unavailable,
                                              run_verdict::may_have_run,
                                              found.error().message,
                                              false,
                                              {}});
                                return;
                            }
                            self->row_tag_ = row->tag;
                            self->decide(*found);
                        });
}

void key_claim::decide(const idempotency_record& found) {
    switch (resolve_idempotency_key(found, record_.attempt, record_.fingerprint)) {
    case idempotency_decision::run:
        finish({});
        return;
    case idempotency_decision::replay:
        replay(found);
        return;
    case idempotency_decision::mismatch:
        finish({refusal::key_mismatch,
                run_verdict::not_run,
                "the key was used for a different request",
                false,
                {}});
        return;
    case idempotency_decision::settled:
        finish({refusal::key_settled,
                run_verdict::may_have_run,
                "operators settled this key: " + found.note,
                false,
                {}});
        return;
    case idempotency_decision::in_progress:
        finish({refusal::key_in_progress,
                run_verdict::may_have_run,
                "a request with this key was begun by " + found.agent + " and has no result yet",
                false,
                {}});
        return;
    }
}

void key_claim::replay(const idempotency_record& found) {
    claim_outcome outcome;
    outcome.verdict = run_verdict::ran;
    outcome.is_replay = true;
    outcome.response = found.response;
    if (found.response_object.empty()) {
        finish(std::move(outcome));
        return;
    }
    context_.store.get_object(found.response_object, [self = shared_from_this(), outcome](
                                                         const result<std::string>& body) mutable {
        if (!body) {
            self->finish({refusal::store_unavailable,
                          run_verdict::may_have_run,
                          body.error().message,
                          false,
                          {}});
            return;
        }
        outcome.response.body = *body;
        self->finish(std::move(outcome));
    });
}

void key_claim::finish(claim_outcome outcome) {
    if (done_) {
        auto done = std::move(done_);
        done_ = nullptr;
        done(std::move(outcome));
    }
}

void key_claim::retry_later(std::function<void()> work) {
    if (std::chrono::steady_clock::now() < retry_deadline_) {
        context_.control.post_after(retry_interval, std::move(work));
    }
}

void key_claim::release() {
    context_.store.read(tables::keys, row_name_,
                        [self = shared_from_this()](result<table_row> row) {
                            if (!row && row.error().code == error_code::not_found) {
                                return;
                            }
                            if (!row) {
                                self->retry_later([self] { self->release(); });
                                return;
                            }
                            const auto found = parse_idempotency_record(row->value);
                            const bool is_own = found && found->attempt == self->record_.attempt &&
                                                found->state == idempotency_state::started;
                            if (is_own) {
                                self->row_tag_ = row->tag;
                                self->remove_claim_row();
                            }
                        });
}

void key_claim::remove_claim_row() {
    context_.store.remove(tables::keys, row_name_, row_tag_,
                          [self = shared_from_this()](const result<table_row>& removed) {
                              if (removed ||
                                  removed.error().code == error_code::precondition_failed) {
                                  return;
                              }
                              self->retry_later([self] { self->release(); });
                          });
}

void key_claim::save_result(complete_response response) {
    ++context_.unwritten_results;
    record_.state = idempotency_state::finished;
    record_.response = std::move(response);
    write_response_body();
}

void key_claim::write_response_body() {
    if (record_.response.body.size() <= max_inline_body_bytes && is_ascii(record_.response.body)) {
        write_result_row(to_json(record_));
        return;
    }
    record_.response_object = "answer-" + record_.attempt;
    context_.store.put_object(record_.response_object, record_.response.body,
                              [self = shared_from_this()](const result<std::string>& written) {
                                  if (!written) {
                                      self->retry_later([self] { self->write_response_body(); });
                                      return;
                                  }
                                  idempotency_record row = self->record_;
                                  row.response.body.clear();
                                  self->write_result_row(to_json(row));
                              });
}

void key_claim::write_result_row(const std::string& text) {
    context_.store.replace(
        tables::keys, row_name_, row_tag_, text,
        [self = shared_from_this(), text](const result<table_row>& written) {
            // A failed precondition means that an earlier attempt took effect after all, or that an
            // operator settled the key; either way the row is final.
            if (written || written.error().code == error_code::precondition_failed) {
                --self->context_.unwritten_results;
                self->context_.process_metrics.count("citronseam_key_results_total",
                                                     {{"outcome", "kept"}});
                return;
            }
            self->retry_later([self, text] { self->write_result_row(text); });
        });
}

} // namespace citronseam
