#include "citronseam/version/routing.h"

#include <array>

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<repetition>, 3> retry_class_names{{
    {repetition::idempotent, "idempotent"},
    {repetition::non_idempotent, "non_idempotent"},
    {repetition::streaming, "streaming"},
}};

} // namespace

std::string_view name(repetition kind) noexcept {
    return find_name(retry_class_names, kind);
}

bool is_repeatable(const route& rule) noexcept {
    return rule.kind == repetition::idempotent ||
           (rule.kind == repetition::streaming && rule.is_resumable);
}

double usual_turnover_ms(const engine_profile& engine) noexcept {
    if (engine.prompt_tokens_per_ms <= 0 || engine.slots == 0) {
        return 0;
    }
    const double step = engine.step_ms + engine.step_ms_per_sequence * engine.slots;
    return engine.usual_prompt_tokens / engine.prompt_tokens_per_ms +
           engine.usual_output_tokens * step / engine.slots;
}

double expected_duration_ms(const engine_profile& engine, double prompt_tokens,
                            double output_tokens) noexcept {
    const double completion_interval = usual_turnover_ms(engine);
    if (completion_interval <= 0) {
        return 0;
    }
    // Between two decode steps the engine prefills other requests, for an average share of the
    // time.
    const double prefill = engine.usual_prompt_tokens / engine.prompt_tokens_per_ms;
    const double step = engine.step_ms + engine.step_ms_per_sequence * engine.slots;
    return prompt_tokens / engine.prompt_tokens_per_ms +
           output_tokens * step * completion_interval / (completion_interval - prefill);
}

double reading_ms(const engine_profile& engine, double prompt_tokens) noexcept {
    if (engine.prompt_tokens_per_ms <= 0) {
        return 0;
    }
    const double steps = engine.steps_per_pass * engine.step_ms;
    const double passes =
        engine.prompt_tokens_per_pass == 0 ? 0 : prompt_tokens / engine.prompt_tokens_per_pass;
    return prompt_tokens / engine.prompt_tokens_per_ms + passes * steps;
}

const routed_service* find_origin(const routing& rules) noexcept {
    for (const auto& [key, service] : rules.services) {
        if (!service.origin_address.empty()) {
            return &service;
        }
    }
    return nullptr;
}

} // namespace citronseam
