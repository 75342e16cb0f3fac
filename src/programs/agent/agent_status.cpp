#include "programs/agent/agent_status.h"

namespace citronseam {

nlohmann::json agent_status_json(const agent_context& context, const version_progress& progress) {
    return {{"instance", context.options.instance},
            {"role", "agent"},
            {"availability_zone", context.options.availability_zone},
            {"generation", generation_of(*context.hub.view())},
            {"limit", context.gate.open_limit()},
            {"running", context.gate.running()},
            {"refusal", name(context.gate.check())},
            {"version", progress.in_force},
            {"wanted", progress.wanted},
            {"chunks_held", progress.held},
            {"chunks_total", progress.total},
            {"origin_bytes", progress.origin_bytes}};
}

} // namespace citronseam
