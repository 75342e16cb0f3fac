#include <memory>
#include <sstream>

#include "citronseam/request/latency_windows.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

constexpr std::size_t longest_history = 10000;
constexpr double p95 = 0.95;

/// When a version was accepted for a service.
result<configuration_head> find_acceptance(tool_context& context, const std::string& name,
                                           const std::string& version) {
    const auto history = read_history(context, longest_history);
    if (!history) {
        return tl::unexpected(history.error());
    }
    configuration_head first;
    for (const auto& head : *history) {
        const auto body = read_body(context, head);
        const auto parsed = body ? parse_configuration(*body, "history")
                                 : file_result<configuration>{{}, {{"", 0, "", ""}}};
        const service* found = parsed.is_valid() ? find_service(parsed.value, name) : nullptr;
        const bool is_wanted = found != nullptr && found->model_version == version;
        if (is_wanted) {
            first = head;
        } else if (first.generation != 0) {
            break;
        }
    }
    if (first.generation == 0) {
        return failure(error_code::not_found,
                       "version " + version + " was never accepted for service " + name);
    }
    return first;
}

/// What the agents of a service say of a version.
struct replica_report {
    int agents{0};
    int replicas{0};
    std::uint64_t last_ms{0}; ///< Unix time at which the last replica came into force
    std::uint64_t origin_bytes{0};
};

result<replica_report> read_replicas(tool_context& context, const std::string& service,
                                     const std::string& version) {
    const auto status = context.ask_entry("GET", "/v1/status");
    if (!status) {
        return tl::unexpected(status.error());
    }
    replica_report report;
    for (const auto& agent : status->at("agents")) {
        if (agent.at("service") != service) {
            continue;
        }
        ++report.agents;
        report.origin_bytes += agent.at("origin_bytes").get<std::uint64_t>();
        if (agent.at("version") == version) {
            ++report.replicas;
            report.last_ms =
                std::max(report.last_ms, agent.at("version_since_ms").get<std::uint64_t>());
        }
    }
    return report;
}

/// Sums the requests of a time over all entries.
latency_summary read_latencies(tool_context& context, const std::string& service,
                               std::uint64_t from_ms, std::uint64_t to_ms) {
    latency_summary sum;
    for (const auto& entry : context.options().entries) {
        tool_options one = context.options();
        one.entries = {entry};
        tool_context asked(one);
        const auto answer = asked.ask_entry("GET", "/v1/latencies/" + service +
                                                       "?from_ms=" + std::to_string(from_ms) +
                                                       "&to_ms=" + std::to_string(to_ms));
        if (!answer) {
            continue;
        }
        sum.answered += answer->at("answered").get<std::uint64_t>();
        sum.failed += answer->at("failed").get<std::uint64_t>();
        for (std::size_t i = 0; i < latency_bucket_count; ++i) {
            sum.buckets[i] += answer->at("buckets").at(i).get<std::uint64_t>();
        }
    }
    return sum;
}

nlohmann::ordered_json to_json(const latency_summary& summary) {
    return {{"answered", summary.answered},
            {"failed", summary.failed},
            {"p95_ms", quantile_ms(summary, p95)}};
}

std::string to_text(const char* when, const latency_summary& summary) {
    std::ostringstream text;
    text << when << ": " << summary.answered << " answered, " << summary.failed
         << " failed, 95th percentile at most " << quantile_ms(summary, p95) << " ms\n";
    return text.str();
}

int report_rollout(tool_context& context, const std::string& service, const std::string& version) {
    const auto accepted = find_acceptance(context, service, version);
    if (!accepted) {
        return report(accepted.error());
    }
    const auto replicas = read_replicas(context, service, version);
    if (!replicas) {
        return report(replicas.error());
    }
    const std::uint64_t began = accepted->accepted_at_ms;
    const std::uint64_t ended = std::max(replicas->last_ms, began);
    const std::uint64_t length = std::max<std::uint64_t>(ended - began, 60000);
    const auto before = read_latencies(context, service, began - length, began);
    const auto during = read_latencies(context, service, began, ended);
    const bool is_whole = replicas->agents > 0 && replicas->replicas == replicas->agents;
    std::ostringstream text;
    text << "version " << version.substr(0, 12) << " for " << service << ", generation "
         << accepted->generation << " by " << accepted->author << "\n"
         << replicas->replicas << " of " << replicas->agents << " instances serve it"
         << (is_whole ? ", the last one " : "; the latest one ")
         << static_cast<double>(ended - began) / 1000 << " s after acceptance\n"
         << replicas->origin_bytes << " bytes were drawn from the origin since the agents started\n"
         << to_text("requests before", before) << to_text("requests during", during);
    print(context,
          {{"service", service},
           {"version", version},
           {"generation", accepted->generation},
           {"agents", replicas->agents},
           {"replicas", replicas->replicas},
           {"seconds_to_last_replica", static_cast<double>(ended - began) / 1000},
           {"origin_bytes", replicas->origin_bytes},
           {"before", to_json(before)},
           {"during", to_json(during)}},
          text.str());
    return is_whole ? succeeded : failed;
}

} // namespace

void add_report_command(CLI::App& app, const command_sink& choose) {
    auto service = std::make_shared<std::string>();
    auto version = std::make_shared<std::string>();
    auto* report_app = app.add_subcommand(
        "report", "how long a version took, origin bytes, and how live requests fared");
    report_app->add_option("service", *service, "service")->required();
    report_app->add_option("version", *version, "version")->required();
    report_app->callback([=] {
        choose([=](tool_context& context) { return report_rollout(context, *service, *version); });
    });
}

} // namespace citronseam::tool
