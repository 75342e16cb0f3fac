#include "citronseam/process/configuration.h"

#include <algorithm>
#include <set>

#include "citronseam/process/closest_word.h"
#include "citronseam/process/enum_names.h"
#include "citronseam/process/yaml_mapping_reader.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<service_kind>, 2> kind_names{{
    {service_kind::engine, "engine"},
    {service_kind::plain, "plain"},
}};
constexpr std::array<enum_name<fencing_mode>, 2> fencing_names{{
    {fencing_mode::enforced, "enforced"},
    {fencing_mode::ignored, "ignored"},
}};
constexpr std::array<enum_name<isolation_policy>, 2> isolation_names{{
    {isolation_policy::refuse, "refuse"},
    {isolation_policy::serve, "serve"},
}};

constexpr std::array<enum_name<balancing_policy>, 2> balancing_names{{
    {balancing_policy::two_choices, "two_choices"},
    {balancing_policy::round_robin, "round_robin"},
}};
constexpr std::array<enum_name<spread_policy>, 2> spread_names{{
    {spread_policy::peers, "peers"},
    {spread_policy::origin, "origin"},
}};

constexpr std::uint64_t most_concurrency = 65536;
constexpr std::uint64_t most_queued = 65536;
constexpr std::uint64_t most_weight = 1000;
constexpr std::size_t version_length = 64;

std::uint32_t small_number(yaml_object& object, const std::string& key, std::uint32_t fallback,
                           std::uint64_t least, std::uint64_t most) {
    return static_cast<std::uint32_t>(object.number_or(key, fallback, least, most));
}

void read_limits(yaml_object& object, service_limits& limits) {
    limits.cold_concurrency =
        small_number(object, "cold_concurrency", limits.cold_concurrency, 1, most_concurrency);
    limits.max_concurrency =
        small_number(object, "max_concurrency", limits.max_concurrency, 1, most_concurrency);
    limits.queue_limit = small_number(object, "queue_limit", limits.queue_limit, 0, most_queued);
    limits.request_timeout = object.duration_or("request_timeout", limits.request_timeout);
    limits.retry_percent = small_number(object, "retry_percent", limits.retry_percent, 0, 100);
    limits.result_retention = object.duration_or("result_retention", limits.result_retention);
    if (limits.cold_concurrency > limits.max_concurrency) {
        object.report("cold_concurrency", "must not be larger than max_concurrency");
    }
    if (limits.request_timeout.count() == 0) {
        object.report("request_timeout", "must be longer than zero");
    }
    // Clocks of instances differ, so a key must outlive its request by more than a little.
    if (limits.result_retention < 2 * limits.request_timeout) {
        object.report("result_retention", "must be at least twice request_timeout, or a key could "
                                          "be forgotten while its request still runs");
    }
}

void read_rollout(yaml_object& object, rollout_limits& rollout) {
    rollout.parallel_per_zone =
        small_number(object, "parallel_per_zone", rollout.parallel_per_zone, 1, most_concurrency);
    const std::string spread = object.choice_or("spread", "peers", all_names(spread_names));
    rollout.spread = find_value(spread_names, spread).value_or(spread_policy::peers);
    rollout.origin_rate = object.rate_or("origin_rate", rollout.origin_rate);
    rollout.peer_rate = object.rate_or("peer_rate", rollout.peer_rate);
}

bool is_version(const std::string& text) {
    const auto is_hex = [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    };
    return text.size() == version_length && std::all_of(text.begin(), text.end(), is_hex);
}

service read_service(yaml_object& object) {
    service value;
    value.name = object.text("name");
    const std::string kind = object.choice("kind", all_names(kind_names));
    value.kind = find_value(kind_names, kind).value_or(service_kind::engine);
    value.model_version = object.text_or("model_version", "");
    if (!value.model_version.empty() && !is_version(value.model_version)) {
        object.report("model_version", "expected the 64 hexadecimal digits that 'citronseam "
                                       "release' printed, found '" +
                                           value.model_version + "'");
    }
    if (!value.model_version.empty() && value.kind == service_kind::plain) {
        object.report("model_version", "a plain service has no model version");
    }
    const std::string fencing = object.choice_or("fencing", "enforced", all_names(fencing_names));
    value.fencing = find_value(fencing_names, fencing).value_or(fencing_mode::enforced);
    const std::string balancing =
        object.choice_or("balancing", "two_choices", all_names(balancing_names));
    value.balancing =
        find_value(balancing_names, balancing).value_or(balancing_policy::two_choices);
    object.object("limits", [&](yaml_object& limits) { read_limits(limits, value.limits); });
    object.object("rollout", [&](yaml_object& rollout) { read_rollout(rollout, value.rollout); });
    object.objects("idempotency", [&](yaml_object& rule) {
        idempotency_rule read;
        read.method = rule.choice("method", {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"});
        read.path = rule.text("path");
        read.is_idempotent = rule.flag_or("idempotent", true);
        if (!rule.has("idempotent")) {
            rule.report("idempotent", "true or false is required here and is missing");
        }
        if (!read.path.empty() && read.path.front() != '/') {
            rule.report("path", "expected a path that starts with '/', found '" + read.path + "'");
        }
        value.rules.push_back(std::move(read));
    });
    return value;
}

/// Reports a name that stands twice in its list.
void check_unique(yaml_object& object, std::set<std::string>& seen, const std::string& value) {
    if (!value.empty() && !seen.insert(value).second) {
        object.report("name", "the name '" + value + "' stands twice");
    }
}

void read_zones(yaml_object& root, configuration& config) {
    std::set<std::string> region_names;
    root.objects("regions", [&](yaml_object& object) {
        region value;
        value.name = object.text("name");
        value.link_rate = object.rate_or("link_rate", 0);
        check_unique(object, region_names, value.name);
        config.regions.push_back(std::move(value));
    });
    std::set<std::string> zone_names;
    root.objects("availability_zones", [&](yaml_object& object) {
        availability_zone value;
        value.name = object.text("name");
        value.region = object.text("region");
        value.in_service = object.flag_or("in_service", true);
        check_unique(object, zone_names, value.name);
        if (!value.region.empty() && region_names.count(value.region) == 0) {
            const std::vector<std::string> known(region_names.begin(), region_names.end());
            const std::string near = closest_word(value.region, known);
            object.report("region", "there is no region '" + value.region + "'" +
                                        (near.empty() ? "" : "; the closest is '" + near + "'"));
        }
        config.availability_zones.push_back(std::move(value));
    });
}

void read_origin_region(yaml_object& root, configuration& config) {
    const std::string first = config.regions.empty() ? "" : config.regions.front().name;
    config.origin_region = root.text_or("origin_region", first);
    const auto is_named = [&](const region& known) { return known.name == config.origin_region; };
    if (!std::any_of(config.regions.begin(), config.regions.end(), is_named)) {
        root.report("origin_region", "there is no region '" + config.origin_region + "'");
    }
}

void read_root(yaml_object& root, configuration& config) {
    config.deployment = root.text("deployment");
    root.object("evidence", [&](yaml_object& object) {
        config.evidence.bound = object.duration_or("bound", config.evidence.bound);
        const std::string policy =
            object.choice_or("when_isolated", "refuse", all_names(isolation_names));
        config.evidence.when_isolated =
            find_value(isolation_names, policy).value_or(isolation_policy::refuse);
    });
    read_zones(root, config);
    read_origin_region(root, config);
    std::set<std::string> workspace_names;
    root.objects("workspaces", [&](yaml_object& object) {
        workspace value;
        value.name = object.text("name");
        value.weight = small_number(object, "weight", value.weight, 1, most_weight);
        value.queue_limit = small_number(object, "queue_limit", value.queue_limit, 0, most_queued);
        check_unique(object, workspace_names, value.name);
        config.workspaces.push_back(std::move(value));
    });
    std::set<std::string> service_names;
    root.objects("services", [&](yaml_object& object) {
        service value = read_service(object);
        check_unique(object, service_names, value.name);
        config.services.push_back(std::move(value));
    });
    if (config.availability_zones.empty()) {
        root.report("availability_zones", "at least one availability zone is needed");
    }
}

/// Whether `target` is `path` itself or stands below it; `/bookings` does not cover `/bookings2`.
bool is_below(std::string_view path, std::string_view target) {
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
    return find_name(kind_names, kind);
}
std::string_view name(fencing_mode mode) noexcept {
    return find_name(fencing_names, mode);
}
std::string_view name(balancing_policy policy) noexcept {
    return find_name(balancing_names, policy);
}
std::string_view name(spread_policy policy) noexcept {
    return find_name(spread_names, policy);
}
std::string_view name(isolation_policy policy) noexcept {
    return find_name(isolation_names, policy);
}

file_result<configuration> parse_configuration(const std::string& content,
                                               const std::string& file) {
    file_result<configuration> read;
    read_yaml(content, file, read.problems,
              [&](yaml_object& object) { read_root(object, read.value); });
    return read;
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
        const bool is_method = rule.method == "*" || rule.method == method;
        if (is_method && is_below(rule.path, target)) {
            return rule.is_idempotent;
        }
    }
    return target_service.kind == service_kind::engine || method == "GET" || method == "HEAD";
}

} // namespace citronseam
