#include <iostream>
#include <memory>
#include <sstream>

#include "citronseam/process/yaml_edit.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

/// A notice lasts until the accepted configuration says the same; it ends by itself so that a
/// forgotten one cannot keep a zone out for good.
constexpr milliseconds notice_lifetime{1800000};

/// Tells the entries directly, without the table service.
int send_notice(tool_context& context, const std::string& zone, bool is_out) {
    const nlohmann::json notice = {{"availability_zone", zone},
                                   {"out", is_out},
                                   {"stamp_ms", wall_clock_ms()},
                                   {"expires_in_ms", notice_lifetime.count()}};
    return context.tell_entries("/v1/notices", notice.dump());
}

int set_zone(tool_context& context, const std::string& zone, bool is_in_service) {
    const int told = send_notice(context, zone, !is_in_service);
    const int status = change_configuration(context, [&](const std::string& body) {
        return set_yaml_value(body, {"availability_zones", zone, "in_service"},
                              is_in_service ? "true" : "false");
    });
    if (status == unreachable && told > 0) {
        std::cerr << "citronseam: " << told << " entries took the notice, which lasts "
                  << notice_lifetime.count() / 60000
                  << " min; the configuration is not changed, so run this again when the table "
                     "service answers\n";
    }
    return status;
}

int list_zones(tool_context& context) {
    const auto accepted = read_accepted_configuration(context);
    if (!accepted) {
        return report(accepted.error());
    }
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    std::ostringstream text;
    for (const auto& zone : accepted->availability_zones) {
        list.push_back(
            {{"name", zone.name}, {"region", zone.region}, {"in_service", zone.in_service}});
        text << zone.name << "\t" << zone.region << "\t" << (zone.in_service ? "in" : "out")
             << "\n";
    }
    print(context, list, text.str());
    return succeeded;
}

} // namespace

void add_zone_commands(CLI::App& app, const command_sink& choose) {
    auto* zone = app.add_subcommand("zone", "take availability zones out of service and back");
    zone->require_subcommand(1);
    auto name = std::make_shared<std::string>();
    auto* out = zone->add_subcommand("out", "no new work goes to the zone");
    out->add_option("name", *name, "availability zone")->required();
    out->callback(
        [=] { choose([=](tool_context& context) { return set_zone(context, *name, false); }); });
    auto* in = zone->add_subcommand("in", "the zone takes work again");
    in->add_option("name", *name, "availability zone")->required();
    in->callback(
        [=] { choose([=](tool_context& context) { return set_zone(context, *name, true); }); });
    auto* list = zone->add_subcommand("list", "availability zones of the accepted configuration");
    list->callback([=] { choose([](tool_context& context) { return list_zones(context); }); });
}

} // namespace citronseam::tool
