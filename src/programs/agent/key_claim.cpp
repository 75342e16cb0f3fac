#include "programs/agent/key_claim.h"

#include "citronseam/process/log.h"
#include "citronseam/process/sizes.h"

namespace citronseam {
namespace {

constexpr milliseconds retry_interval{250};
/// A longer body goes to the object store.
constexpr std::size_t largest_inline_body = 32 * kibibyte;

/// JSON rows hold text; bytes that are not UTF-8 go to the object store.
bool is_ascii(const std::string& text) {
    return std::all_of(text.begin(), text.end(),
                       [](char letter) { return static_cast<unsigned char>(letter) < 128; });
}

} // namespace

key_claim::key_claim(agent_context& context, std::string row, std::string attempt,
                     std::uint64_t fingerprint, milliseconds retention)
    : context_(context), row_(std::move(row)),
      given_up_at_(std::chrono::steady_clock::now() + retention) {
    record_.attempt = std::move(attempt);
    record_.agent = context.options.instance;
    record_.fingerprint = fingerprint;
    record_.expires_at_ms = wall_clock_ms() + static_cast<std::uint64_t>(retention.count());
}

void key_claim::start(std::function<void(claim_outcome)> done) {
    done_ = std::move(done);
    context_.store.insert(tables::keys, row_, to_json(record_),
                          [self = shared_from_this()](result<table_row> written) {
                              if (!written) {
                                  self->settle_insert(written.error());
                                  return;
                              }
                              self->tag_ = written->tag;
                              self->finish({});
                          });
}

void key_claim::settle_insert(const error& problem) {
    if (problem.code == error_code::precondition_failed ||
        problem.code == error_code::outcome_unknown) {
        read_back();
        return;
    }
    context_.numbers.count("citronseam_key_claims_total", {{"outcome", "store_unavailable"}});
    finish({refusal::store_unavailable, run_verdict::not_run, problem.message, false, {}});
}

void key_claim::read_back() {
    context_.store.read(tables::keys, row_, [self = shared_from_this()](result<table_row> row) {
        if (!row) {
            // The insert may have taken effect, but nothing was run. The row is taken back as soon
            // as the store answers, or a later request with this key would wait for it in vain.
            self->give_back();
            self->finish(
                {refusal::store_unavailable, run_verdict::not_run, row.error().message, false, {}});
            return;
        }
        const auto found = parse_key_record(row->value);
        if (!found) {
            self->finish({refusal::store_unavailable,
                          run_verdict::may_have_run,
                          found.error().message,
                          false,
                          {}});
            return;
        }
        self->tag_ = row->tag;
        self->decide(*found);
    });
}

void key_claim::decide(const key_record& found) {
    switch (decide_on_key(found, record_.attempt, record_.fingerprint)) {
    case key_decision::run:
        finish({});
        return;
    case key_decision::replay:
        replay(found);
        return;
    case key_decision::mismatch:
        finish({refusal::key_mismatch,
                run_verdict::not_run,
                "the key was used for a different request",
                false,
                {}});
        return;
    case key_decision::settled:
        finish({refusal::key_settled,
                run_verdict::may_have_run,
                "operators settled this key: " + found.note,
                false,
                {}});
        return;
    case key_decision::in_progress:
        finish({refusal::key_in_progress,
                run_verdict::may_have_run,
                "a request with this key was begun by " + found.agent + " and has no result yet",
                false,
                {}});
        return;
    }
}

void key_claim::replay(const key_record& found) {
    claim_outcome outcome;
    outcome.verdict = run_verdict::ran;
    outcome.is_replay = true;
    outcome.answer = found.answer;
    if (found.answer_object.empty()) {
        finish(std::move(outcome));
        return;
    }
    context_.store.get_object(found.answer_object, [self = shared_from_this(), outcome](
                                                       const result<std::string>& body) mutable {
        if (!body) {
            self->finish({refusal::store_unavailable,
                          run_verdict::may_have_run,
                          body.error().message,
                          false,
                          {}});
            return;
        }
        outcome.answer.body = *body;
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

void key_claim::try_later(std::function<void()> work) {
    if (std::chrono::steady_clock::now() < given_up_at_) {
        context_.control.post_after(retry_interval, std::move(work));
    }
}

void key_claim::give_back() {
    context_.store.read(tables::keys, row_, [self = shared_from_this()](result<table_row> row) {
        if (!row && row.error().code == error_code::not_found) {
            return;
        }
        if (!row) {
            self->try_later([self] { self->give_back(); });
            return;
        }
        const auto found = parse_key_record(row->value);
        const bool is_own =
            found && found->attempt == self->record_.attempt && found->state == key_state::started;
        if (is_own) {
            self->tag_ = row->tag;
            self->remove_own_row();
        }
    });
}

void key_claim::remove_own_row() {
    context_.store.remove(
        tables::keys, row_, tag_, [self = shared_from_this()](const result<table_row>& removed) {
            if (removed || removed.error().code == error_code::precondition_failed) {
                return;
            }
            self->try_later([self] { self->give_back(); });
        });
}

void key_claim::keep(whole_answer answer) {
    ++context_.unwritten_results;
    record_.state = key_state::finished;
    record_.answer = std::move(answer);
    store_result();
}

void key_claim::store_result() {
    if (record_.answer.body.size() <= largest_inline_body && is_ascii(record_.answer.body)) {
        write_result(to_json(record_));
        return;
    }
    record_.answer_object = "answer-" + record_.attempt;
    context_.store.put_object(record_.answer_object, record_.answer.body,
                              [self = shared_from_this()](const result<std::string>& written) {
                                  if (!written) {
                                      self->try_later([self] { self->store_result(); });
                                      return;
                                  }
                                  key_record row = self->record_;
                                  row.answer.body.clear();
                                  self->write_result(to_json(row));
                              });
}

void key_claim::write_result(const std::string& text) {
    context_.store.replace(
        tables::keys, row_, tag_, text,
        [self = shared_from_this(), text](const result<table_row>& written) {
            // A precondition that fails means that an earlier try took effect after all, or that
            // an operator settled the key; either way the row is final.
            if (written || written.error().code == error_code::precondition_failed) {
                --self->context_.unwritten_results;
                self->context_.numbers.count("citronseam_key_results_total", {{"outcome", "kept"}});
                return;
            }
            self->try_later([self, text] { self->write_result(text); });
        });
}

} // namespace citronseam
