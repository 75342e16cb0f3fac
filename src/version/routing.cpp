#include "citronseam/version/routing.h"

#include <array>

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<retry_class>, 3> retry_class_names{{
    {retry_class::idempotent, "idempotent"},
    {retry_class::non_idempotent, "non_idempotent"},
    {retry_class::streaming, "streaming"},
}};

/// Where more average prompts than this fit into an objective, a few requests that collide at an
/// engine are still in time.
constexpr double max_prompts_per_objective = 9;

} // namespace

std::string_view name(retry_class kind) noexcept {
    return find_name(retry_class_names, kind);
}

bool is_retryable(const route& rule) noexcept {
    return rule.kind == retry_class::idempotent ||
           (rule.kind == retry_class::streaming && rule.is_resumable);
}

double mean_completion_interval_ms(const engine_profile& engine) noexcept {
    if (engine.prefill_tokens_per_ms <= 0 || engine.slots == 0) {
        return 0;
    }
    const double step = engine.decode_step_ms + engine.decode_step_ms_per_sequence * engine.slots;
    return engine.mean_prompt_tokens / engine.prefill_tokens_per_ms +
           engine.mean_output_tokens * step / engine.slots;
}

double expected_duration_ms(const engine_profile& engine, double prompt_tokens,
                            double output_tokens) noexcept {
    const double completion_interval = mean_completion_interval_ms(engine);
    if (completion_interval <= 0) {
        return 0;
    }
    // Between two decode steps the engine prefills other requests, for an average share of the
    // time.
    const double prefill = engine.mean_prompt_tokens / engine.prefill_tokens_per_ms;
    const double step = engine.decode_step_ms + engine.decode_step_ms_per_sequence * engine.slots;
    return prompt_tokens / engine.prefill_tokens_per_ms +
           output_tokens * step * completion_interval / (completion_interval - prefill);
}

double prefill_ms(const engine_profile& engine, double prompt_tokens) noexcept {
    if (engine.prefill_tokens_per_ms <= 0) {
        return 0;
    }
    const double steps = engine.decode_steps_per_pass * engine.decode_step_ms;
    const double passes = engine.max_prefill_tokens_per_pass == 0
                              ? 0
                              : prompt_tokens / engine.max_prefill_tokens_per_pass;
    return prompt_tokens / engine.prefill_tokens_per_ms + passes * steps;
}

void mark_prefill_bound(routing& rules) noexcept {
    for (const route& rule : rules.routes) {
        const auto objective = static_cast<double>(rule.latency_objective.count());
        for (const weighted_service& target : rule.services) {
            const auto found = rules.services.find(target.service);
            if (found == rules.services.end() || !found->second.has_engine || objective <= 0) {
                continue;
            }
            const engine_profile& engine = found->second.engine;
            if (engine.prefill_tokens_per_ms > 0) {
                const double prefill = engine.mean_prompt_tokens / engine.prefill_tokens_per_ms;
                found->second.is_prefill_bound = found->second.is_prefill_bound ||
                                                 prefill * max_prompts_per_objective > objective;
            }
        }
    }
}

const service_config* find_weight_origin(const routing& rules) noexcept {
    for (const auto& [key, service] : rules.services) {
        if (!service.origin_address.empty()) {
            return &service;
        }
    }
    return nullptr;
}

} // namespace citronseam
