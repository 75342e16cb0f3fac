/// @file
/// Acquires, verifies and releases one permit.
#ifndef CITRONSEAM_PROGRAMS_AGENT_PERMIT_HOLDER_H
#define CITRONSEAM_PROGRAMS_AGENT_PERMIT_HOLDER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronseam/version/permit.h"
#include "programs/agent/agent_context.h"

namespace citronseam {

/// Holds one permit out of several slots. All functions run on the control thread.
class permit_holder : public std::enable_shared_from_this<permit_holder> {
public:
    /// Receives whether the permit is held.
    using outcome_callback = std::function<void(bool)>;

    /// @param context shared state of the agent
    /// @param scope   what the permit covers: a zone's name, or `all`
    permit_holder(agent_context& context, std::string scope);

    /// Tries to acquire one of the slots. `done(false)` when none is free or the store does not
    /// respond.
    void acquire(std::uint32_t slots, const outcome_callback& done);
    /// Reads the permit again, and renews it when less than half of its lifetime is left. Call it
    /// just before the operation that the permit allows. `done(false)` when it is not certain that
    /// the permit is still held.
    void verify(const outcome_callback& done);
    /// Releases the permit, if it is held.
    void release();
    /// @return whether the permit was acquired and not released yet
    bool is_held() const noexcept { return !row_tag_.empty(); }

private:
    void try_slot(std::uint32_t slot, std::uint32_t slots, const outcome_callback& done);
    void handle_occupied(std::uint32_t slot, std::uint32_t slots, const outcome_callback& done);
    void take_over(std::uint32_t slot, std::uint32_t slots, const table_row& row,
                   const outcome_callback& done);
    void renew(const outcome_callback& done);
    std::string next_record();
    bool can_take_over(const permit_record& record) const;
    void remove_row(const std::string& row, const std::string& tag, time_point until);
    std::string row_name() const;
    template<typename Function>
    auto on_control(Function function);

    agent_context& context_;
    std::string scope_;
    std::string attempt_;
    std::uint32_t slot_{0};
    std::string row_tag_;
};

} // namespace citronseam

#endif
