#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include <unistd.h>

#include "citronseam/process/yaml_edit.h"
#include "citronseam/version/manifest.h"
#include "citronseam/version/sha256.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

constexpr milliseconds upload_timeout{600000};
constexpr milliseconds poll_interval{500};
constexpr int progress_bar_width = 40;

/// Arguments of the `release` command.
struct release_options {
    std::string service;
    std::string version; ///< identity of an already published version
    std::string file;    ///< file with the weights of a new version
    std::uint64_t chunk_size{default_chunk_size};
};

result<bool> upload(tool_context& context, const std::string& name, const std::string& content) {
    http_request request;
    request.method = "PUT";
    request.url = context.options().weight_store_url + "/weights/" + name;
    request.body = content;
    request.timeout = upload_timeout;
    const http_response response = fetch_blocking(context.http(), std::move(request), 65536);
    if (!response.outcome.is_complete || response.outcome.status >= 300) {
        return failure(error_code::unavailable,
                       "upload to the weight store failed: " + response.outcome.message);
    }
    return true;
}

/// Uploads weights and their manifest.
/// @return identity of the version: the hash of its manifest
result<std::string> publish(tool_context& context, const release_options& options) {
    auto content = read_file(options.file);
    if (!content) {
        return content;
    }
    if (content->empty()) {
        return failure(error_code::invalid_argument, options.file + ": the file is empty");
    }
    const manifest weights_manifest =
        make_manifest("weights-" + sha256_hex(*content), *content, options.chunk_size);
    const auto uploaded = upload(context, weights_manifest.source, *content);
    if (!uploaded) {
        return tl::unexpected(uploaded.error());
    }
    const std::string text = to_json(weights_manifest);
    const std::string identity = sha256_hex(text);
    auto stored = context.put_object(identity, text);
    if (!stored) {
        return stored;
    }
    return identity;
}

int release(tool_context& context, const release_options& options) {
    std::string version = options.version;
    if (!options.file.empty()) {
        const auto published = publish(context, options);
        if (!published) {
            return print_error(published.error());
        }
        version = *published;
        std::cerr << "version " << version << " published\n";
    }
    const auto manifest_text = context.get_object(version);
    if (!manifest_text) {
        return print_error(
            {manifest_text.error().code,
             "version " + version + " is not published: " + manifest_text.error().message});
    }
    const auto weights_manifest = parse_manifest(*manifest_text, version);
    if (!weights_manifest) {
        return print_error(weights_manifest.error());
    }
    return update_configuration(context, [&](const std::string& body) {
        return set_yaml_value(body, {"services", options.service, "model_version"}, version);
    });
}

/// Rollout progress of one service, summed over its agents.
struct rollout_progress {
    std::string version;
    int replicas{0}; ///< agents whose engine serves the version
    int agents{0};
    std::uint64_t chunks_held{0};
    std::uint64_t chunks_total{0};
    std::uint64_t origin_bytes{0};
    nlohmann::ordered_json zones = nlohmann::ordered_json::object();
};

result<std::string> target_version(tool_context& context, const std::string& name) {
    const auto accepted = read_accepted_configuration(context);
    if (!accepted) {
        return tl::unexpected(accepted.error());
    }
    const service* found = find_service(*accepted, name);
    if (found == nullptr) {
        return failure(error_code::not_found, "there is no service '" + name + "'");
    }
    return found->model_version;
}

void add_agent(rollout_progress& progress, const nlohmann::json& agent) {
    const bool is_serving = agent.at("version") == progress.version;
    const std::string zone = agent.at("availability_zone");
    auto& row = progress.zones[zone];
    if (row.is_null()) {
        row = {{"agents", 0}, {"replicas", 0}};
    }
    row["agents"] = row["agents"].get<int>() + 1;
    row["replicas"] = row["replicas"].get<int>() + (is_serving ? 1 : 0);
    progress.agents += 1;
    progress.replicas += is_serving ? 1 : 0;
    progress.chunks_held += agent.at("chunks_held").get<std::uint64_t>();
    progress.chunks_total += agent.at("chunks_total").get<std::uint64_t>();
    progress.origin_bytes += agent.at("origin_bytes").get<std::uint64_t>();
}

result<rollout_progress> read_progress(tool_context& context, const std::string& service,
                                       const std::string& version) {
    const auto status = context.query_entry("GET", "/v1/status");
    if (!status) {
        return tl::unexpected(status.error());
    }
    rollout_progress progress;
    progress.version = version;
    for (const auto& agent : status->at("agents")) {
        if (agent.at("service") == service) {
            add_agent(progress, agent);
        }
    }
    return progress;
}

nlohmann::ordered_json to_json(const std::string& service, const rollout_progress& progress) {
    return {{"service", service},
            {"version", progress.version},
            {"agents", progress.agents},
            {"replicas", progress.replicas},
            {"chunks_held", progress.chunks_held},
            {"chunks_total", progress.chunks_total},
            {"origin_bytes", progress.origin_bytes},
            {"zones", progress.zones}};
}

std::string to_text(const rollout_progress& progress) {
    std::ostringstream text;
    text << "version " << progress.version.substr(0, 12) << ": " << progress.replicas << " of "
         << progress.agents << " replicas, " << progress.origin_bytes
         << " bytes downloaded from the origin\n";
    for (const auto& [zone, row] : progress.zones.items()) {
        text << "  " << zone << ": " << row["replicas"] << " of " << row["agents"] << "\n";
    }
    return text.str();
}

int rollout_status(tool_context& context, const std::string& service) {
    const auto version = target_version(context, service);
    if (!version) {
        return print_error(version.error());
    }
    const auto progress = read_progress(context, service, *version);
    if (!progress) {
        return print_error(progress.error());
    }
    print_result(context, to_json(service, *progress), to_text(*progress));
    return succeeded;
}

std::string progress_bar(const rollout_progress& progress, double elapsed_s) {
    const double fraction_done = progress.chunks_total == 0
                                     ? 0.0
                                     : static_cast<double>(progress.chunks_held) /
                                           static_cast<double>(progress.chunks_total);
    const int filled_width = static_cast<int>(fraction_done * progress_bar_width);
    std::ostringstream text;
    text << "[" << std::string(static_cast<std::size_t>(filled_width), '#')
         << std::string(static_cast<std::size_t>(progress_bar_width - filled_width), '.') << "] "
         << progress.replicas << "/" << progress.agents << " replicas, " << progress.origin_bytes
         << " origin bytes";
    if (fraction_done > 0 && fraction_done < 1) {
        text << ", about " << static_cast<int>(elapsed_s * (1 - fraction_done) / fraction_done) + 1
             << " s left";
    }
    return text.str();
}

int rollout_watch(tool_context& context, const std::string& service, int timeout_s) {
    const auto version = target_version(context, service);
    if (!version) {
        return print_error(version.error());
    }
    const time_point start = std::chrono::steady_clock::now();
    const bool is_terminal = isatty(STDOUT_FILENO) == 1;
    while (true) {
        const auto progress = read_progress(context, service, *version);
        if (!progress) {
            return print_error(progress.error());
        }
        const auto elapsed = std::chrono::steady_clock::now() - start;
        const double elapsed_s = std::chrono::duration<double>(elapsed).count();
        const bool is_rolled_out = progress->agents > 0 && progress->replicas == progress->agents;
        if (is_terminal) {
            std::cout << "\r" << progress_bar(*progress, elapsed_s) << std::flush;
        }
        if (is_rolled_out) {
            std::cout << (is_terminal ? "\n" : "");
            print_result(context, to_json(service, *progress), to_text(*progress));
            return succeeded;
        }
        if (elapsed_s > timeout_s) {
            std::cout << (is_terminal ? "\n" : "");
            return print_error({error_code::not_found, std::to_string(progress->replicas) + " of " +
                                                           std::to_string(progress->agents) +
                                                           " replicas after " +
                                                           std::to_string(timeout_s) + " s"});
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace

void add_release_commands(CLI::App& app, const command_setter& set_command) {
    auto options = std::make_shared<release_options>();
    auto* release_command = app.add_subcommand("release", "roll out a model version to a service");
    release_command->add_option("service", options->service, "service")->required();
    release_command->add_option("version", options->version, "already published version");
    release_command->add_option("--file", options->file, "file with the weights of a new version");
    release_command->add_option("--chunk-size", options->chunk_size, "chunk size in bytes")
        ->check(CLI::Range(std::uint64_t{1024}, max_chunk_size));
    release_command->callback([=] {
        if (options->version.empty() == options->file.empty()) {
            throw CLI::ValidationError("release", "give either a version or --file");
        }
        set_command([=](tool_context& context) { return release(context, *options); });
    });

    auto* rollout = app.add_subcommand("rollout", "progress of a rollout");
    rollout->require_subcommand(1);
    auto service = std::make_shared<std::string>();
    auto timeout_s = std::make_shared<int>(3600);
    auto* watch = rollout->add_subcommand("watch", "wait until every replica serves the version");
    watch->add_option("service", *service, "service")->required();
    watch->add_option("--timeout-s", *timeout_s, "maximum time to wait in seconds");
    watch->callback([=] {
        set_command(
            [=](tool_context& context) { return rollout_watch(context, *service, *timeout_s); });
    });
    auto* status = rollout->add_subcommand("status", "print the current progress");
    status->add_option("service", *service, "service")->required();
    status->callback([=] {
        set_command([=](tool_context& context) { return rollout_status(context, *service); });
    });
}

} // namespace citronseam::tool
