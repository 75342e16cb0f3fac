#include "citronseam/process/member.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "citronseam/process/json_number.h"

namespace citronseam {
namespace {

void add_matching(std::vector<std::string>& chosen, const std::vector<reachable_gateway>& gateways,
                  const std::string reachable_gateway::*location, std::string_view wanted) {
    for (const auto& gateway : gateways) {
        const bool is_new =
            std::find(chosen.begin(), chosen.end(), gateway.http_address) == chosen.end();
        if (is_new && gateway.*location == wanted) {
            chosen.push_back(gateway.http_address);
        }
    }
}

} // namespace

std::string to_json(const member& process) {
    return nlohmann::json{{"instance", process.instance}, {"role", name(process.role)},
                          {"zone", process.zone},         {"region", process.region},
                          {"peer", process.peer_address}, {"http", process.http_address},
                          {"service", process.service},   {"incarnation", process.incarnation}}
        .dump();
}

result<member> parse_member(const std::string& text) {
    try {
        const auto value = nlohmann::json::parse(text);
        member process;
        process.instance = value.at("instance").get<std::string>();
        const std::string role = value.at("role").get<std::string>();
        if (role != name(process_role::sidecar) && role != name(process_role::gateway)) {
            throw std::invalid_argument("the role is none");
        }
        process.role =
            role == name(process_role::sidecar) ? process_role::sidecar : process_role::gateway;
        process.zone = value.at("zone").get<std::string>();
        process.region = value.at("region").get<std::string>();
        process.peer_address = value.at("peer").get<std::string>();
        process.http_address = value.at("http").get<std::string>();
        process.service = value.at("service").get<std::string>();
        process.incarnation = read_whole_number<std::uint64_t>(value.at("incarnation"));
        return process;
    } catch (const std::exception& exception) {
        return failure(error_code::protocol, std::string("a member's row cannot be read: ") +
                                                 shortened(exception.what()));
    }
}

std::vector<std::string> choose_gateway_addresses(const std::vector<reachable_gateway>& gateways,
                                                  std::string_view zone, std::string_view region,
                                                  std::size_t max, random_source& random) {
    std::vector<reachable_gateway> shuffled = gateways;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    std::vector<std::string> chosen;
    add_matching(chosen, shuffled, &reachable_gateway::zone, zone);
    if (chosen.size() < min_gateways_per_response) {
        add_matching(chosen, shuffled, &reachable_gateway::region, region);
    }
    if (chosen.size() < min_gateways_per_response) {
        for (const auto& gateway : shuffled) {
            const bool is_new =
                std::find(chosen.begin(), chosen.end(), gateway.http_address) == chosen.end();
            if (is_new) {
                chosen.push_back(gateway.http_address);
            }
        }
    }
    chosen.resize(std::min(chosen.size(), max));
    return chosen;
}

} // namespace citronseam
