/// @file
/// Claims the idempotency key of a non-idempotent request and stores its result.
#ifndef CITRONSEAM_PROGRAMS_AGENT_KEY_CLAIM_H
#define CITRONSEAM_PROGRAMS_AGENT_KEY_CLAIM_H

#include <functional>
#include <memory>
#include <string>

#include "citronseam/request/idempotency_record.h"
#include "citronseam/request/verdict.h"
#include "programs/agent/agent_context.h"

namespace citronseam {

/// Outcome of a claim.
struct claim_outcome {
    refusal reason{refusal::none}; ///< none: this agent holds the key and may run the request
    run_verdict verdict{run_verdict::not_run}; ///< whether the key's request was run
    std::string message;
    bool is_replay{false};
    complete_response response; ///< when is_replay
};

/// One claim. The row is inserted just before the run, and the insert fails if the row exists, so
/// at most one agent ever runs the request of a key.
class key_claim : public std::enable_shared_from_this<key_claim> {
public:
    /// @param context     shared state of the agent
    /// @param row         name of the row, see key_row_name()
    /// @param attempt     unique identifier of this claim
    /// @param fingerprint of the request
    /// @param retention   how long the row is kept
    key_claim(agent_context& context, std::string row, std::string attempt,
              std::uint64_t fingerprint, milliseconds retention);

    /// Tries to claim the key. `done` is called once, on the HTTP client's thread.
    void start(std::function<void(claim_outcome)> done);

    /// Removes the claim, because the request was not run. Retried until the store confirms it or
    /// the row would have expired.
    void release();
    /// Stores the result. Retried until it is written or the row would have expired.
    void save_result(complete_response response);

private:
    void handle_insert_error(const error& problem);
    void read_existing_row();
    void decide(const idempotency_record& found);
    void replay(const idempotency_record& found);
    void finish(claim_outcome outcome);
    void remove_claim_row();
    void write_response_body();
    void write_result_row(const std::string& text);
    void retry_later(std::function<void()> work);

    agent_context& context_;
    std::string row_name_;
    idempotency_record record_;
    time_point retry_deadline_;
    std::function<void(claim_outcome)> done_;
    std::string row_tag_;
};

} // namespace citronseam

#endif
