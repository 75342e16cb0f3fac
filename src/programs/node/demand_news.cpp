#include "programs/node/demand_news.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace citronseam {
namespace {

double valid_rate(float rate) noexcept {
    return std::isfinite(rate) ? std::max(0.0, static_cast<double>(rate)) : 0.0;
}

} // namespace

void add_demand(wire::member_beatT& heartbeat, const std::vector<reported_demand>& ranks) {
    for (const reported_demand& reported : ranks) {
        auto written = std::make_unique<wire::service_demandT>();
        written->service = reported.key.service;
        written->rank = static_cast<std::uint8_t>(std::clamp(reported.key.rank, 0, 255));
        written->offered = static_cast<float>(reported.offered);
        written->sent = static_cast<float>(reported.sent);
        written->waiting = reported.waiting;
        for (const auto& workspace : reported.workspaces) {
            auto share = std::make_unique<wire::workspace_demandT>();
            share->workspace = workspace.name;
            share->offered = static_cast<float>(workspace.offered);
            share->sent = static_cast<float>(workspace.sent);
            written->workspaces.push_back(std::move(share));
        }
        heartbeat.demand.push_back(std::move(written));
    }
}

std::vector<reported_demand> read_demand(const wire::member_beat& heartbeat) {
    std::vector<reported_demand> ranks;
    if (heartbeat.demand() == nullptr) {
        return ranks;
    }
    for (const auto* reported : *heartbeat.demand()) {
        reported_demand read{{std::string(view(reported->service())), reported->rank()},
                             valid_rate(reported->offered()),
                             valid_rate(reported->sent()),
                             reported->waiting(),
                             {}};
        if (reported->workspaces() != nullptr) {
            for (const auto* workspace : *reported->workspaces()) {
                read.workspaces.push_back({std::string(view(workspace->workspace())),
                                           valid_rate(workspace->offered()),
                                           valid_rate(workspace->sent())});
            }
        }
        ranks.push_back(std::move(read));
    }
    return ranks;
}

} // namespace citronseam
