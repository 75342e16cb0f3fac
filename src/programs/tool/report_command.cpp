#include <memory>
#include <sstream>

#include "citronseam/request/latency_windows.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

constexpr std::size_t max_history_entries = 10000;
constexpr double p95_quantile = 0.95;

/// Finds the most recent commit that made a version the accepted one of a service.
/// @return the head with that commit's generation, author and time
result<configuration_head> find_acceptance(tool_context& context, const std::string& name,
                                           const std::string& version) {
    const auto history = read_history(context, max_history_entries);
    if (!history) {
        return tl::unexpected(history.error());
    }
    configuration_head acceptance;
    for (const auto& head : *history) {
        const auto body = read_body(context, head);
        const auto parsed = body ? parse_configuration(*body, "history")
                                 : file_result<configuration>{{}, {{"", 0, "", ""}}};
        const service* found = parsed.is_valid() ? find_service(parsed.value, name) : nullptr;
        const bool has_version = found != nullptr && found->model_version == version;
        if (has_version) {
            acceptance = head;
        } else if (acceptance.generation != 0) {
            break;
        }
    }
    if (acceptance.generation == 0) {
        return failure(error_code::not_found,
                       "version " + version + " was never accepted for service " + name);
    }
    return acceptance;
}

/// Status of a version, summed over the agents of a service.
struct replica_summary {
    int agents{0};
    int replicas{0};
    std::uint64_t last_replica_at_ms{0}; ///< Unix time at which the last replica began to serve it
    std::uint64_t origin_bytes{0};
};

result<replica_summary> read_replicas(tool_context& context, const std::string& service,
                                      const std::string& version) {
    const auto status = context.query_entry("GET", "/v1/status");
    if (!status) {
        return tl::unexpected(status.error());
    }
    replica_summary summary;
    for (const auto& agent : status->at("agents")) {
        if (agent.at("service") != service) {
            continue;
        }
        ++summary.agents;
        summary.origin_bytes += agent.at("origin_bytes").get<std::uint64_t>();
        if (agent.at("version") == version) {
            ++summary.replicas;
            summary.last_replica_at_ms = std::max(
                summary.last_replica_at_ms, agent.at("version_since_ms").get<std::uint64_t>());
        }
    }
    return summary;
}

/// Sums the latencies of the requests in a time range over all entries that respond.
latency_summary read_latencies(tool_context& context, const std::string& service,
                               std::uint64_t from_ms, std::uint64_t to_ms) {
    latency_summary sum;
    for (const auto& entry : context.options().entry_addresses) {
        tool_options single_entry_options = context.options();
        single_entry_options.entry_addresses = {entry};
        tool_context entry_context(single_entry_options);
        const auto response = entry_context.query_entry(
            "GET", "/v1/latencies/" + service + "?from_ms=" + std::to_string(from_ms) +
                       "&to_ms=" + std::to_string(to_ms));
        if (!response) {
            continue;
        }
        sum.answered += response->at("answered").get<std::uint64_t>();
        sum.failed += response->at("failed").get<std::uint64_t>();
        for (std::size_t i = 0; i < latency_bucket_count; ++i) {
            sum.buckets[i] += response->at("buckets").at(i).get<std::uint64_t>();
        }
    }
    return sum;
}

nlohmann::ordered_json to_json(const latency_summary& summary) {
    return {{"answered", summary.answered},
            {"failed", summary.failed},
            {"p95_ms", quantile_ms(summary, p95_quantile)}};
}

std::string to_text(const char* when, const latency_summary& summary) {
    std::ostringstream text;
    text << when << ": " << summary.answered << " answered, " << summary.failed
         << " failed, 95th percentile at most " << quantile_ms(summary, p95_quantile) << " ms\n";
    return text.str();
}

int report_rollout(tool_context& context, const std::string& service, const std::string& version) {
    const auto accepted = find_acceptance(context, service, version);
    if (!accepted) {
        return print_error(accepted.error());
    }
    const auto replicas = read_replicas(context, service, version);
    if (!replicas) {
        return print_error(replicas.error());
    }
    const std::uint64_t start_ms = accepted->accepted_at_ms;
    const std::uint64_t end_ms = std::max(replicas->last_replica_at_ms, start_ms);
    const std::uint64_t window_ms = std::max<std::uint64_t>(end_ms - start_ms, 60000);
    const auto before = read_latencies(context, service, start_ms - window_ms, start_ms);
    const auto during = read_latencies(context, service, start_ms, end_ms);
    const bool is_rolled_out = replicas->agents > 0 && replicas->replicas == replicas->agents;
    std::ostringstream text;
    text << "version " << version.substr(0, 12) << " for " << service << ", generation "
         << accepted->generation << " by " << accepted->author << "\n"
         << replicas->replicas << " of " << replicas->agents << " instances serve it"
         << (is_rolled_out ? ", the last one " : "; the latest one ")
         << static_cast<double>(end_ms - start_ms) / 1000 << " s after acceptance\n"
         << replicas->origin_bytes << " bytes downloaded from the origin since the agents started\n"
         << to_text("requests before", before) << to_text("requests during", during);
    print_result(context,
                 {{"service", service},
                  {"version", version},
                  {"generation", accepted->generation},
                  {"agents", replicas->agents},
                  {"replicas", replicas->replicas},
                  {"seconds_to_last_replica", static_cast<double>(end_ms - start_ms) / 1000},
                  {"origin_bytes", replicas->origin_bytes},
                  {"before", to_json(before)},
                  {"during", to_json(during)}},
                 text.str());
    return is_rolled_out ? succeeded : failed;
}

} // namespace

void add_report_command(CLI::App& app, const command_setter& set_command) {
    auto service = std::make_shared<std::string>();
    auto version = std::make_shared<std::string>();
    auto* report_app = app.add_subcommand(
        "report",
        "rollout time of a version, origin bytes, and request latencies before and during it");
    report_app->add_option("service", *service, "service")->required();
    report_app->add_option("version", *version, "version")->required();
    report_app->callback([=] {
        set_command(
            [=](tool_context& context) { return report_rollout(context, *service, *version); });
    });
}

} // namespace citronseam::tool
