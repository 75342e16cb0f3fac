#include "citronseam/request/quarantine.h"

#include <algorithm>

#include "citronseam/process/enum_names.h"
#include "citronseam/process/random.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<quarantine_status>, 3> status_names{{
    {quarantine_status::clear, "clear"},
    {quarantine_status::suspected, "suspected"},
    {quarantine_status::refused, "refused"},
}};

constexpr std::size_t max_records = 10000;

bool is_expired(const quarantine& state, const crash_record& record, time_point now) noexcept {
    return now - record.last_loss >= state.lifetime;
}

const crash_record* find_record(const quarantine& state, std::uint64_t fingerprint,
                                time_point now) noexcept {
    const auto found = state.records.find(fingerprint);
    if (found == state.records.end() || is_expired(state, found->second, now)) {
        return nullptr;
    }
    return &found->second;
}

void drop_oldest(quarantine& state) {
    const auto oldest = std::min_element(state.records.begin(), state.records.end(),
                                         [](const auto& left, const auto& right) {
                                             return left.second.last_loss < right.second.last_loss;
                                         });
    state.records.erase(oldest);
}

} // namespace

std::string_view name(quarantine_status status) noexcept {
    return find_name(status_names, status);
}

std::uint64_t request_fingerprint(std::string_view scope, std::string_view method,
                                  std::string_view target, std::string_view body) noexcept {
    std::uint64_t hash = hash_text(scope);
    hash = hash_text(method, hash);
    hash = hash_text(target, hash);
    return hash_text(body, hash);
}

bool record_loss(quarantine& state, std::uint64_t fingerprint, const lost_server& loss,
                 time_point now) {
    expire_records(state, now);
    crash_record& record = state.records[fingerprint];
    if (std::find(record.losses.begin(), record.losses.end(), loss) != record.losses.end()) {
        return false;
    }
    record.losses.push_back(loss);
    record.last_loss = now;
    return true;
}

quarantine_status quarantine_status_of(const quarantine& state, std::uint64_t fingerprint,
                                       time_point now) noexcept {
    const crash_record* record = find_record(state, fingerprint, now);
    if (record == nullptr) {
        return quarantine_status::clear;
    }
    return record->losses.size() >= state.losses_to_refuse ? quarantine_status::refused
                                                           : quarantine_status::suspected;
}

milliseconds time_to_expiry(const quarantine& state, std::uint64_t fingerprint,
                            time_point now) noexcept {
    const crash_record* record = find_record(state, fingerprint, now);
    if (record == nullptr) {
        return milliseconds(0);
    }
    return std::chrono::duration_cast<milliseconds>(record->last_loss + state.lifetime - now);
}

bool release_fingerprint(quarantine& state, std::uint64_t fingerprint) {
    return state.records.erase(fingerprint) > 0;
}

void expire_records(quarantine& state, time_point now) {
    std::erase_if(state.records,
                  [&](const auto& entry) { return is_expired(state, entry.second, now); });
    while (state.records.size() > max_records) {
        drop_oldest(state);
    }
}

} // namespace citronseam
