#include "citronseam/request/verdict.h"

#include "citronseam/process/enum_names.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<run_verdict>, 3> verdict_names{{
    {run_verdict::not_run, "not_run"},
    {run_verdict::ran, "ran"},
    {run_verdict::may_have_run, "may_have_run"},
}};

constexpr std::array<enum_name<refusal>, 17> refusal_names{{
    {refusal::none, "none"},
    {refusal::limit, "limit"},
    {refusal::availability_zone_out, "availability_zone_out"},
    {refusal::leaving, "leaving"},
    {refusal::not_ready, "not_ready"},
    {refusal::stale_evidence, "stale_evidence"},
    {refusal::deadline, "deadline"},
    {refusal::unknown_service, "unknown_service"},
    {refusal::store_unavailable, "store_unavailable"},
    {refusal::key_in_progress, "key_in_progress"},
    {refusal::key_mismatch, "key_mismatch"},
    {refusal::backend_unreachable, "backend_unreachable"},
    {refusal::backend_lost, "backend_lost"},
    {refusal::cancelled, "cancelled"},
    {refusal::quarantined, "quarantined"},
    {refusal::version_changed, "version_changed"},
    {refusal::key_settled, "key_settled"},
}};

} // namespace

std::string_view name(run_verdict verdict) noexcept {
    return find_name(verdict_names, verdict);
}
std::string_view name(refusal reason) noexcept {
    return find_name(refusal_names, reason);
}

int http_status(refusal reason) noexcept {
    switch (reason) {
    case refusal::none:
        return 200;
    case refusal::unknown_service:
        return 404;
    case refusal::key_in_progress:
    case refusal::key_settled:
        return 409;
    case refusal::key_mismatch:
    case refusal::quarantined:
        return 422;
    case refusal::deadline:
        return 504;
    case refusal::backend_lost:
        return 502;
    case refusal::cancelled:
        return 499;
    default:
        return 503;
    }
}

bool may_retry(const attempt_outcome& outcome, bool is_idempotent,
               bool is_response_started) noexcept {
    switch (outcome.reason) {
    case refusal::none:
    case refusal::deadline:
    case refusal::unknown_service:
    case refusal::store_unavailable:
    case refusal::key_in_progress:
    case refusal::key_mismatch:
    case refusal::cancelled:
    case refusal::quarantined:
    case refusal::key_settled:
        // Another backend server would give the same result.
        return false;
    default:
        break;
    }
    if (is_response_started) {
        return false;
    }
    return outcome.verdict == run_verdict::not_run || is_idempotent;
}

run_verdict combine_verdicts(run_verdict earlier, run_verdict later) noexcept {
    if (later == run_verdict::not_run) {
        return earlier;
    }
    return later;
}

} // namespace citronseam
