#include "citronseam/process/control_state.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "citronseam/version/sha256.h"

namespace citronseam {

std::string to_json(const configuration_head& head) {
    const nlohmann::json json = {
        {"generation", head.generation}, {"hash", head.hash},
        {"attempt", head.attempt},       {"parent", head.parent},
        {"author", head.author},         {"accepted_at_ms", head.accepted_at_ms}};
    return json.dump();
}

result<configuration_head> parse_head(const std::string& text) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        configuration_head head;
        head.generation = json.at("generation");
        head.hash = json.at("hash");
        head.attempt = json.at("attempt");
        head.parent = json.at("parent");
        head.author = json.at("author");
        head.accepted_at_ms = json.at("accepted_at_ms");
        return head;
    } catch (const nlohmann::json::exception& exception) {
        return failure(error_code::corrupt,
                       std::string("the head row cannot be read: ") + exception.what());
    }
}

result<std::shared_ptr<const accepted_configuration>>
parse_accepted_configuration(std::uint64_t generation, std::string hash, std::string attempt,
                             std::string body) {
    if (sha256_hex(body) != hash) {
        return failure(error_code::corrupt, "the body of generation " + std::to_string(generation) +
                                                " does not match its hash");
    }
    auto parsed = parse_configuration(body, "generation-" + std::to_string(generation));
    if (!parsed.is_valid()) {
        return failure(error_code::invalid_file, describe(parsed.problems));
    }
    auto accepted = std::make_shared<accepted_configuration>();
    accepted->generation = generation;
    accepted->hash = std::move(hash);
    accepted->attempt = std::move(attempt);
    accepted->body = std::move(body);
    accepted->content = std::move(parsed.value);
    return accepted;
}

bool install_configuration(control_state& state,
                           std::shared_ptr<const accepted_configuration> candidate) {
    if (candidate == nullptr || candidate->generation <= accepted_generation(state)) {
        return false;
    }
    state.accepted = std::move(candidate);
    return true;
}

bool apply_notice(control_state& state, const zone_notice& notice) {
    const auto known = state.notices.find(notice.availability_zone);
    if (known != state.notices.end() && known->second.stamp_ms >= notice.stamp_ms) {
        return false;
    }
    state.notices[notice.availability_zone] = notice;
    return true;
}

void expire_notices(control_state& state, time_point now) {
    std::erase_if(state.notices,
                  [now](const auto& entry) { return entry.second.expires_at <= now; });
}

void advance_evidence(control_state& state, time_point moment) noexcept {
    if (!state.has_evidence || moment > state.evidence) {
        state.evidence = moment;
        state.has_evidence = true;
    }
}

std::uint64_t accepted_generation(const control_state& state) noexcept {
    return state.accepted == nullptr ? 0 : state.accepted->generation;
}

bool is_zone_in_service(const control_state& state, std::string_view zone, time_point now) {
    if (state.accepted == nullptr) {
        return false;
    }
    const availability_zone* found = find_zone(state.accepted->content, zone);
    if (found == nullptr || !found->in_service) {
        return false;
    }
    const auto notice = state.notices.find(std::string(zone));
    const bool has_active_notice = notice != state.notices.end() && notice->second.expires_at > now;
    return !has_active_notice || !notice->second.is_out;
}

bool has_recent_evidence(const control_state& state, time_point now) noexcept {
    return state.accepted != nullptr && state.has_evidence &&
           now - state.evidence <= state.accepted->content.evidence.max_age;
}

bool must_refuse_for_stale_evidence(const control_state& state, time_point now) noexcept {
    if (state.accepted == nullptr || !state.has_evidence) {
        return true;
    }
    const isolation_policy policy = state.accepted->content.evidence.when_isolated;
    return policy == isolation_policy::refuse && !has_recent_evidence(state, now);
}

time_point last_majority_contact(std::vector<time_point> last_heard, std::size_t entry_count,
                                 time_point now) {
    last_heard.push_back(now);
    const std::size_t majority = entry_count / 2 + 1;
    if (last_heard.size() < majority) {
        return time_point{};
    }
    std::sort(last_heard.begin(), last_heard.end(), std::greater<>());
    return last_heard[majority - 1];
}

} // namespace citronseam
