/// @file
/// Gets, checks and gives back one permit.
#ifndef CITRONSEAM_PROGRAMS_AGENT_PERMIT_HOLDER_H
#define CITRONSEAM_PROGRAMS_AGENT_PERMIT_HOLDER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronseam/version/permit.h"
#include "programs/agent/agent_context.h"

namespace citronseam {

/// One permit out of several slots. All functions run on the control thread.
class permit_holder : public std::enable_shared_from_this<permit_holder> {
public:
    /// Tells whether the permit is held.
    using outcome_callback = std::function<void(bool)>;

    /// @param context parts of the agent
    /// @param scope   what the permit bounds: a zone's name, or `all`
    permit_holder(agent_context& context, std::string scope);

    /// Tries to get one of the slots. `done(false)` when none is free or the store does not answer.
    void acquire(std::uint32_t slots, const outcome_callback& done);
    /// Reads the permit again, and renews it when half its time is over. Call it just before the
    /// act it allows. `done(false)` when it is no longer held for certain.
    void confirm(const outcome_callback& done);
    /// Gives the permit back, if it is held.
    void give_back();
    /// @return whether the permit was got and not given back
    bool is_held() const noexcept { return !tag_.empty(); }

private:
    void try_slot(std::uint32_t slot, std::uint32_t slots, const outcome_callback& done);
    void handle_occupied(std::uint32_t slot, std::uint32_t slots, const outcome_callback& done);
    void take_over(std::uint32_t slot, std::uint32_t slots, const table_row& row,
                   const outcome_callback& done);
    void renew(const outcome_callback& done);
    std::string next_record();
    bool is_takeable(const permit_record& record) const;
    void remove_row(const std::string& row, const std::string& tag, time_point until);
    std::string row_name() const;
    template<typename Function>
    auto on_control(Function function);

    agent_context& context_;
    std::string scope_;
    std::string attempt_;
    std::uint32_t slot_{0};
    std::string tag_;
};

} // namespace citronseam

#endif
