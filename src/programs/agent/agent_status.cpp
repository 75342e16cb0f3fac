#include "programs/agent/agent_status.h"

namespace citronseam {

nlohmann::json agent_status_json(const agent_context& context, const version_progress& progress) {
    return {{"instance", context.options.instance},
            {"role", "agent"},
            {"availability_zone", context.options.availability_zone},
            {"generation", accepted_generation(*context.state_sync.view())},
            {"limit", context.admission.effective_limit()},
            {"running", context.admission.running()},
            {"refusal", name(context.admission.check())},
            {"version", progress.active_version},
            {"wanted", progress.target_version},
            {"chunks_held", progress.chunks_held},
            {"chunks_total", progress.chunks_total},
            {"origin_bytes", progress.origin_bytes}};
}

} // namespace citronseam
