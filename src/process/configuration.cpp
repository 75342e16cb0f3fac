#include "citronseam/process/configuration.h"

#include <algorithm>
#include <set>

#include "citronseam/process/closest_word.h"
#include "citronseam/process/enum_names.h"
#include "citronseam/process/yaml_mapping_reader.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<service_kind>, 2> service_kind_names{{
    {service_kind::engine, "engine"},
    {service_kind::plain, "plain"},
}};
constexpr std::array<enum_name<fencing_mode>, 2> fencing_mode_names{{
    {fencing_mode::enforced, "enforced"},
    {fencing_mode::ignored, "ignored"},
}};
constexpr std::array<enum_name<isolation_policy>, 2> isolation_policy_names{{
    {isolation_policy::refuse, "refuse"},
    {isolation_policy::serve, "serve"},
}};

constexpr std::array<enum_name<balancing_policy>, 2> balancing_policy_names{{
    {balancing_policy::two_choices, "two_choices"},
    {balancing_policy::round_robin, "round_robin"},
}};
constexpr std::array<enum_name<chunk_source_policy>, 2> chunk_source_names{{
    {chunk_source_policy::peers, "peers"},
    {chunk_source_policy::origin, "origin"},
}};

constexpr std::uint64_t max_concurrency_setting = 65536;
constexpr std::uint64_t max_queue_limit = 65536;
constexpr std::uint64_t max_workspace_weight = 1000;
constexpr std::size_t version_hex_digits = 64;

std::uint32_t read_uint32(yaml_mapping_reader& reader, const std::string& key,
                          std::uint32_t fallback, std::uint64_t min, std::uint64_t max) {
    return static_cast<std::uint32_t>(reader.number_or(key, fallback, min, max));
}

void read_limits(yaml_mapping_reader& reader, service_limits& limits) {
    limits.cold_concurrency = read_uint32(reader, "cold_concurrency", limits.cold_concurrency, 1,
                                          max_concurrency_setting);
    limits.max_concurrency =
        read_uint32(reader, "max_concurrency", limits.max_concurrency, 1, max_concurrency_setting);
    limits.queue_limit = read_uint32(reader, "queue_limit", limits.queue_limit, 0, max_queue_limit);
    limits.request_timeout = reader.duration_or("request_timeout", limits.request_timeout);
    limits.retry_percent = read_uint32(reader, "retry_percent", limits.retry_percent, 0, 100);
    limits.result_retention = reader.duration_or("result_retention", limits.result_retention);
    if (limits.cold_concurrency > limits.max_concurrency) {
        reader.report("cold_concurrency", "must not be larger than max_concurrency");
    }
    if (limits.request_timeout.count() == 0) {
        reader.report("request_timeout", "must be longer than zero");
    }
    // Clocks of instances differ, so a key must outlive its request by a wide margin.
    if (limits.result_retention < 2 * limits.request_timeout) {
        reader.report("result_retention", "must be at least twice request_timeout, or a key could "
                                          "be forgotten while its request still runs");
    }
}

void read_rollout(yaml_mapping_reader& reader, rollout_limits& rollout) {
    rollout.max_parallel_reloads_per_zone =
        read_uint32(reader, "parallel_per_zone", rollout.max_parallel_reloads_per_zone, 1,
                    max_concurrency_setting);
    const std::string source_name =
        reader.choice_or("spread", "peers", all_names(chunk_source_names));
    rollout.chunk_source =
        find_value(chunk_source_names, source_name).value_or(chunk_source_policy::peers);
    rollout.origin_bytes_per_second =
        reader.rate_or("origin_rate", rollout.origin_bytes_per_second);
    rollout.peer_bytes_per_second = reader.rate_or("peer_rate", rollout.peer_bytes_per_second);
}

bool is_version(const std::string& text) {
    const auto is_hex = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    };
    return text.size() == version_hex_digits && std::all_of(text.begin(), text.end(), is_hex);
}

service read_service(yaml_mapping_reader& reader) {
    service value;
    value.name = reader.required_text("name");
    const std::string kind = reader.required_choice("kind", all_names(service_kind_names));
    value.kind = find_value(service_kind_names, kind).value_or(service_kind::engine);
    value.model_version = reader.text_or("model_version", "");
    if (!value.model_version.empty() && !is_version(value.model_version)) {
        reader.report("model_version", "expected the 64 hexadecimal digits that 'citronseam "
                                       "release' printed, found '" +
                                           value.model_version + "'");
    }
    if (!value.model_version.empty() && value.kind == service_kind::plain) {
        reader.report("model_version", "a plain service has no model version");
    }
    const std::string fencing =
        reader.choice_or("fencing", "enforced", all_names(fencing_mode_names));
    value.fencing = find_value(fencing_mode_names, fencing).value_or(fencing_mode::enforced);
    const std::string balancing =
        reader.choice_or("balancing", "two_choices", all_names(balancing_policy_names));
    value.balancing =
        find_value(balancing_policy_names, balancing).value_or(balancing_policy::two_choices);
    reader.mapping("limits",
                   [&](yaml_mapping_reader& limits) { read_limits(limits, value.limits); });
    reader.mapping("rollout",
                   [&](yaml_mapping_reader& rollout) { read_rollout(rollout, value.rollout); });
    reader.mapping_list("idempotency", [&](yaml_mapping_reader& rule) {
        idempotency_rule parsed;
        parsed.method =
            rule.required_choice("method", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"});
        parsed.path = rule.required_text("path");
        parsed.is_idempotent = rule.flag_or("idempotent", true);
        if (!rule.has("idempotent")) {
            rule.report("idempotent", "true or false is required here and is missing");
        }
        if (!parsed.path.empty() && parsed.path.front() != '/') {
            rule.report("path",
                        "expected a path that starts with '/', found '" + parsed.path + "'");
        }
        value.rules.push_back(std::move(parsed));
    });
    return value;
}

/// Reports a name that occurs twice in its list.
void check_unique(yaml_mapping_reader& reader, std::set<std::string>& used_names,
                  const std::string& value) {
    if (!value.empty() && !used_names.insert(value).second) {
        reader.report("name", "the name '" + value + "' is used twice");
    }
}

void read_zones(yaml_mapping_reader& root, configuration& config) {
    std::set<std::string> region_names;
    root.mapping_list("regions", [&](yaml_mapping_reader& reader) {
        region value;
        value.name = reader.required_text("name");
        value.link_bytes_per_second = reader.rate_or("link_rate", 0);
        check_unique(reader, region_names, value.name);
        config.regions.push_back(std::move(value));
    });
    std::set<std::string> zone_names;
    root.mapping_list("availability_zones", [&](yaml_mapping_reader& reader) {
        availability_zone value;
        value.name = reader.required_text("name");
        value.region = reader.required_text("region");
        value.in_service = reader.flag_or("in_service", true);
        check_unique(reader, zone_names, value.name);
        if (!value.region.empty() && region_names.count(value.region) == 0) {
            const std::vector<std::string> known(region_names.begin(), region_names.end());
            const std::string suggestion = closest_word(value.region, known);
            reader.report("region",
                          "there is no region '" + value.region + "'" +
                              (suggestion.empty() ? "" : "; the closest is '" + suggestion + "'"));
        }
        config.availability_zones.push_back(std::move(value));
    });
}

void read_origin_region(yaml_mapping_reader& root, configuration& config) {
    const std::string first = config.regions.empty() ? "" : config.regions.front().name;
    config.origin_region = root.text_or("origin_region", first);
    const auto is_origin_region = [&](const region& known) {
        return known.name == config.origin_region;
    };
    if (!std::any_of(config.regions.begin(), config.regions.end(), is_origin_region)) {
        root.report("origin_region", "there is no region '" + config.origin_region + "'");
    }
}

void read_root(yaml_mapping_reader& root, configuration& config) {
    config.deployment = root.required_text("deployment");
    root.mapping("evidence", [&](yaml_mapping_reader& reader) {
        config.evidence.max_age = reader.duration_or("bound", config.evidence.max_age);
        const std::string policy =
            reader.choice_or("when_isolated", "refuse", all_names(isolation_policy_names));
        config.evidence.when_isolated =
            find_value(isolation_policy_names, policy).value_or(isolation_policy::refuse);
    });
    read_zones(root, config);
    read_origin_region(root, config);
    std::set<std::string> workspace_names;
    root.mapping_list("workspaces", [&](yaml_mapping_reader& reader) {
        workspace value;
        value.name = reader.required_text("name");
        value.weight = read_uint32(reader, "weight", value.weight, 1, max_workspace_weight);
        value.queue_limit =
            read_uint32(reader, "queue_limit", value.queue_limit, 0, max_queue_limit);
        check_unique(reader, workspace_names, value.name);
        config.workspaces.push_back(std::move(value));
    });
    std::set<std::string> service_names;
    root.mapping_list("services", [&](yaml_mapping_reader& reader) {
        service value = read_service(reader);
        check_unique(reader, service_names, value.name);
        config.services.push_back(std::move(value));
    });
    if (config.availability_zones.empty()) {
        root.report("availability_zones", "at least one availability zone is needed");
    }
}

/// Whether `target` is `path` or a sub-path of it; `/bookings` does not match `/bookings2`.
bool is_path_or_subpath(std::string_view path, std::string_view target) {
    if (target.substr(0, path.size()) != path) {
        return false;
    }
    const std::string_view rest = target.substr(path.size());
    return path.back() == '/' || rest.empty() || rest.front() == '/' || rest.front() == '?';
}

template<typename List>
auto find_by_name(const List& list, std::string_view name) noexcept -> decltype(list.data()) {
    const auto found =
        std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.name == name; });
    return found == list.end() ? nullptr : &*found;
}

} // namespace

std::string_view name(service_kind kind) noexcept {
    return find_name(service_kind_names, kind);
}
std::string_view name(fencing_mode mode) noexcept {
    return find_name(fencing_mode_names, mode);
}
std::string_view name(balancing_policy policy) noexcept {
    return find_name(balancing_policy_names, policy);
}
std::string_view name(chunk_source_policy policy) noexcept {
    return find_name(chunk_source_names, policy);
}
std::string_view name(isolation_policy policy) noexcept {
    return find_name(isolation_policy_names, policy);
}

file_result<configuration> parse_configuration(const std::string& content,
                                               const std::string& file) {
    file_result<configuration> parsed;
    read_yaml(content, file, parsed.problems,
              [&](yaml_mapping_reader& reader) { read_root(reader, parsed.value); });
    return parsed;
}

const service* find_service(const configuration& config, std::string_view name) noexcept {
    return find_by_name(config.services, name);
}

const availability_zone* find_zone(const configuration& config, std::string_view name) noexcept {
    return find_by_name(config.availability_zones, name);
}

const workspace* find_workspace(const configuration& config, std::string_view name) noexcept {
    return find_by_name(config.workspaces, name);
}

std::string_view region_of(const configuration& config, std::string_view zone) noexcept {
    const availability_zone* found = find_zone(config, zone);
    return found == nullptr ? std::string_view{} : std::string_view{found->region};
}

bool is_idempotent(const service& target_service, std::string_view method,
                   std::string_view target) {
    for (const auto& rule : target_service.rules) {
        const bool is_method_match = rule.method == "*" || rule.method == method;
        if (is_method_match && is_path_or_subpath(rule.path, target)) {
            return rule.is_idempotent;
        }
    }
    return target_service.kind == service_kind::engine || method == "GET" || method == "HEAD";
}

} // namespace citronseam
