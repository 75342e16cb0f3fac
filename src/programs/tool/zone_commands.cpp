#include <iostream>
#include <memory>
#include <sstream>

#include "citronseam/process/yaml_edit.h"
#include "programs/tool/commands.h"
#include "programs/tool/configuration_store.h"

namespace citronseam::tool {
namespace {

/// A notice covers the time until the accepted configuration has the same setting. It expires
/// after 30 min, so that a forgotten notice cannot keep a zone out of service forever.
constexpr milliseconds notice_lifetime{1800000};

/// Sends the notice to the entries directly, without the table service.
/// @return number of entries that accepted it
int send_notice(tool_context& context, const std::string& zone, bool is_out) {
    const nlohmann::json notice = {{"availability_zone", zone},
                                   {"out", is_out},
                                   {"stamp_ms", wall_clock_ms()},
                                   {"expires_in_ms", notice_lifetime.count()}};
    return context.broadcast_to_entries("/v1/notices", notice.dump());
}

int set_zone_in_service(tool_context& context, const std::string& zone, bool is_in_service) {
    const int notified_count = send_notice(context, zone, !is_in_service);
    const int status = update_configuration(context, [&](const std::string& body) {
        return set_yaml_value(body, {"availability_zones", zone, "in_service"},
                              is_in_service ? "true" : "false");
    });
    if (status == unreachable && notified_count > 0) {
        std::cerr << "citronseam: " << notified_count
                  << " entries accepted the notice, which expires in "
                  << notice_lifetime.count() / 60000
                  << " min; the configuration is unchanged, run the command again when the "
                     "table service is reachable\n";
    }
    return status;
}

int list_zones(tool_context& context) {
    const auto accepted = read_accepted_configuration(context);
    if (!accepted) {
        return print_error(accepted.error());
    }
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    std::ostringstream text;
    for (const auto& zone : accepted->availability_zones) {
        list.push_back(
            {{"name", zone.name}, {"region", zone.region}, {"in_service", zone.in_service}});
        text << zone.name << "\t" << zone.region << "\t" << (zone.in_service ? "in" : "out")
             << "\n";
    }
    print_result(context, list, text.str());
    return succeeded;
}

} // namespace

void add_zone_commands(CLI::App& app, const command_setter& set_command) {
    auto* zone =
        app.add_subcommand("zone", "take availability zones out of service and put them back");
    zone->require_subcommand(1);
    auto name = std::make_shared<std::string>();
    auto* out = zone->add_subcommand("out", "stop sending new requests to the zone");
    out->add_option("name", *name, "availability zone")->required();
    out->callback([=] {
        set_command(
            [=](tool_context& context) { return set_zone_in_service(context, *name, false); });
    });
    auto* in = zone->add_subcommand("in", "send requests to the zone again");
    in->add_option("name", *name, "availability zone")->required();
    in->callback([=] {
        set_command(
            [=](tool_context& context) { return set_zone_in_service(context, *name, true); });
    });
    auto* list = zone->add_subcommand("list", "availability zones of the accepted configuration");
    list->callback([=] { set_command([](tool_context& context) { return list_zones(context); }); });
}

} // namespace citronseam::tool
