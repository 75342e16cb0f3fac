#include "programs/agent/key_sweeper.h"

#include <array>
#include <cstdio>

#include "citronseam/request/idempotency_record.h"

namespace citronseam {
namespace {

/// Row names begin with hexadecimal digits of a hash; the first two select one of 256 partitions.
constexpr std::uint64_t partition_count = 256;
constexpr std::size_t rows_per_sweep = 200;

std::string partition_prefix(std::uint64_t partition) {
    std::array<char, 4> text{};
    std::snprintf(text.data(), text.size(), "%02x",
                  static_cast<unsigned>(partition % partition_count));
    return text.data();
}

} // namespace

key_sweeper::key_sweeper(agent_context& context)
    : context_(context), random_(seeded_random_source()) {}

void key_sweeper::sweep() {
    context_.store.list(tables::keys, partition_prefix(random_below(random_, partition_count)),
                        rows_per_sweep, [this](const result<std::vector<table_row>>& rows) {
                            if (rows) {
                                remove_expired(*rows);
                            }
                        });
}

void key_sweeper::remove_expired(const std::vector<table_row>& rows) {
    const std::uint64_t now = wall_clock_ms();
    for (const auto& row : rows) {
        const auto record = parse_idempotency_record(row.value);
        if (!record || !is_record_expired(*record, now)) {
            continue;
        }
        context_.process_metrics.count("citronseam_keys_expired_total");
        // The row is removed first: without it, no request reads the object.
        context_.store.remove(tables::keys, row.key, row.tag,
                              [this, object = record->response_object](const auto& removed) {
                                  if (removed && !object.empty()) {
                                      remove_object(object);
                                  }
                              });
    }
}

void key_sweeper::remove_object(const std::string& name) {
    context_.store.remove_object(name, [this](const result<std::string>& removed) {
        // An orphaned object only takes space, so a failed removal is counted and not retried.
        const char* outcome = removed ? "removed" : "left_behind";
        context_.process_metrics.count("citronseam_answer_objects_total", {{"outcome", outcome}});
    });
}

} // namespace citronseam
