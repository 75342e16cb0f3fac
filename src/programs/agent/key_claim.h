/// @file
/// Claims the key of a non-idempotent request and keeps its result.
#ifndef CITRONSEAM_PROGRAMS_AGENT_KEY_CLAIM_H
#define CITRONSEAM_PROGRAMS_AGENT_KEY_CLAIM_H

#include <functional>
#include <memory>
#include <string>

#include "citronseam/request/idempotency_record.h"
#include "citronseam/request/verdict.h"
#include "programs/agent/agent_context.h"

namespace citronseam {

/// What a claim came to.
struct claim_outcome {
    refusal reason{refusal::none};             ///< none: this agent holds the key and may run it
    run_verdict verdict{run_verdict::not_run}; ///< what is known about the key's request
    std::string message;
    bool is_replay{false};
    whole_answer answer; ///< when is_replay
};

/// One claim. The row is inserted just before the run and never twice, so at most one agent ever
/// gets past start() for a key.
class key_claim : public std::enable_shared_from_this<key_claim> {
public:
    /// @param context     parts of the agent
    /// @param row         name of the row, see key_row_name()
    /// @param attempt     unique identifier of this claim
    /// @param fingerprint of the request
    /// @param retention   how long the row is kept
    key_claim(agent_context& context, std::string row, std::string attempt,
              std::uint64_t fingerprint, milliseconds retention);

    /// Tries to get the key. `done` is called once, on the HTTP client's thread.
    void start(std::function<void(claim_outcome)> done);

    /// Gives the key back: the request was not run. Tried again until it is certain or the row
    /// would have expired.
    void give_back();
    /// Keeps the result. Tried again until it is written or the row would have expired.
    void keep(whole_answer answer);

private:
    void settle_insert(const error& problem);
    void read_back();
    void decide(const key_record& found);
    void replay(const key_record& found);
    void finish(claim_outcome outcome);
    void remove_own_row();
    void store_result();
    void write_result(const std::string& text);
    void try_later(std::function<void()> work);

    agent_context& context_;
    std::string row_;
    key_record record_;
    time_point given_up_at_;
    std::function<void(claim_outcome)> done_;
    std::string tag_;
};

} // namespace citronseam

#endif
