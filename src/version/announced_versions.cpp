#include "citronseam/version/announced_versions.h"

#include <algorithm>
#include <iterator>

namespace citronseam {
namespace {

/// Lower differences of ages are the delays of the messages that carry them.
constexpr milliseconds dating_tolerance{50};
/// Time after which a version that is due is not told any more: every process takes it for due, one
/// that starts as well.
constexpr milliseconds max_telling_time{30000};

std::vector<announced_version>::iterator find_position(std::vector<announced_version>& versions,
                                                       std::uint64_t version) {
    return std::lower_bound(versions.begin(), versions.end(), version,
                            [](const announced_version& known, std::uint64_t wanted) {
                                return known.version < wanted;
                            });
}

announcement_change update(announced_version& known, const announced_version& heard) {
    if (heard.is_assumed) {
        return announcement_change::none;
    }
    if (!known.is_assumed && heard.announced_at > known.announced_at - dating_tolerance) {
        return announcement_change::none;
    }
    known = heard;
    return announcement_change::dated;
}

} // namespace

std::uint64_t newest_announced(const announced_versions& known, std::string_view model) noexcept {
    const auto found = known.find(model);
    return found == known.end() || found->second.empty() ? 0 : found->second.back().version;
}

announcement_change learn_from_table(announced_versions& known, const std::string& model,
                                     const announced_version& listed) {
    auto& versions = known[model];
    if (!versions.empty() && versions.back().version > listed.version) {
        return announcement_change::none;
    }
    if (!versions.empty() && versions.back().version == listed.version) {
        return update(versions.back(), listed);
    }
    versions.push_back(listed);
    return announcement_change::added;
}

announcement_change learn_from_member(announced_versions& known, const std::string& model,
                                      const announced_version& told) {
    auto& versions = known[model];
    const auto position = find_position(versions, told.version);
    if (position != versions.end() && position->version == told.version) {
        return update(*position, told);
    }
    if (position == versions.end() && told.is_assumed) {
        return announcement_change::none;
    }
    versions.insert(position, told);
    return announcement_change::added;
}

std::vector<announced_version> versions_to_tell(const std::vector<announced_version>& known,
                                                milliseconds due, time_point now) {
    const auto is_due = [due, now](const announced_version& announced) {
        return now - announced.announced_at >= due;
    };
    const auto newest_due = std::find_if(known.rbegin(), known.rend(), is_due);
    if (newest_due == known.rend()) {
        return known;
    }
    const bool is_told = now - newest_due->announced_at < due + max_telling_time;
    return {is_told ? std::prev(newest_due.base()) : newest_due.base(), known.end()};
}

} // namespace citronseam
