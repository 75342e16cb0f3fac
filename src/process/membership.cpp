#include "citronseam/process/membership.h"

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

namespace citronseam {
namespace {

using instance_group = std::vector<listed_instance>;

void sort_by_weight(std::string_view agent, instance_group& group) {
    std::sort(group.begin(), group.end(), [agent](const auto& left, const auto& right) {
        return rendezvous_weight(agent, left.instance) > rendezvous_weight(agent, right.instance);
    });
}

/// Chooses `count` instances round-robin over the groups.
instance_group choose_round_robin(const std::vector<instance_group>& groups, std::size_t count) {
    instance_group chosen;
    bool is_exhausted = false;
    for (std::size_t position = 0; !is_exhausted; ++position) {
        is_exhausted = true;
        for (const auto& group : groups) {
            if (position < group.size() && chosen.size() < count) {
                chosen.push_back(group[position]);
                is_exhausted = false;
            }
        }
    }
    return chosen;
}

} // namespace

result<std::vector<listed_instance>> parse_instance_list(const std::string& text) {
    try {
        std::vector<listed_instance> list;
        // A named variable, since a temporary would be destroyed before the loop starts.
        const nlohmann::json document = nlohmann::json::parse(text);
        for (const auto& row : document.at("instances")) {
            listed_instance entry;
            entry.instance = row.at("instance");
            entry.role = row.at("role") == name(process_role::agent) ? process_role::agent
                                                                     : process_role::entry;
            entry.availability_zone = row.at("availability_zone");
            entry.peer_address = row.at("peer_address");
            entry.http_address = row.value("http_address", "");
            entry.is_leaving = row.value("leaving", false);
            list.push_back(std::move(entry));
        }
        return list;
    } catch (const nlohmann::json::exception& exception) {
        return failure(error_code::protocol,
                       std::string("the instance list cannot be read: ") + exception.what());
    }
}

std::vector<listed_instance> choose_entries(std::string_view agent, std::string_view zone,
                                            const std::vector<listed_instance>& entries,
                                            std::size_t count) {
    std::map<std::string, instance_group> by_zone;
    for (const auto& entry : entries) {
        by_zone[entry.availability_zone].push_back(entry);
    }
    std::vector<instance_group> groups;
    for (auto& [zone_name, group] : by_zone) {
        sort_by_weight(agent, group);
        const bool is_own = zone_name == zone;
        groups.insert(is_own ? groups.begin() : groups.end(), std::move(group));
    }
    return choose_round_robin(groups, count);
}

std::vector<entry_address> order_entries_for_caller(std::string_view zone,
                                                    std::vector<entry_address> entries,
                                                    random_source& random) {
    std::shuffle(entries.begin(), entries.end(), random);
    std::uint64_t sum = 0;
    for (const auto& entry : entries) {
        sum += entry.load;
    }
    const std::uint64_t mean = entries.empty() ? 0 : sum / entries.size();
    std::stable_sort(entries.begin(), entries.end(), [&](const auto& left, const auto& right) {
        const bool is_left_in_zone = left.availability_zone == zone;
        const bool is_right_in_zone = right.availability_zone == zone;
        if (is_left_in_zone != is_right_in_zone) {
            return is_left_in_zone;
        }
        const bool is_left_above_mean = left.load > mean;
        const bool is_right_above_mean = right.load > mean;
        return is_left_above_mean < is_right_above_mean;
    });
    return entries;
}

} // namespace citronseam
