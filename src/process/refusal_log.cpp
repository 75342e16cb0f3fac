#include "citronseam/process/refusal_log.h"

#include <utility>

namespace citronseam {

void record_refusal(refusal_log& log, std::string_view reason) {
    auto found = log.reasons.find(reason);
    if (found == log.reasons.end()) {
        found = log.reasons.emplace(std::string(reason), refusal_count{}).first;
    }
    ++found->second.unlogged;
}

std::vector<refusal_line> take_due_lines(refusal_log& log, time_point now) {
    std::vector<refusal_line> lines;
    for (auto& [reason, count] : log.reasons) {
        const bool is_due = !count.logged_at || now - *count.logged_at >= refusal_log_interval;
        if (count.unlogged > 0 && is_due) {
            lines.push_back({reason, std::exchange(count.unlogged, 0)});
            count.logged_at = now;
        }
    }
    return lines;
}

} // namespace citronseam
