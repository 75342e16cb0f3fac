// How a large configuration reaches all processes over links that are slow.
#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

#include "citronseam/process/sizes.h"

#include "support/platform_world.h"
#include "support/relay.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* members_table = "citronseam_members";
/// Longer than the 6 s during which started processes connect to all others to introduce
/// themselves.
constexpr milliseconds settling_time{7000};
/// Within this time a change must be in force everywhere.
constexpr milliseconds apply_bound{3000};
/// Makes a configuration of about 1 MB.
constexpr std::size_t tenant_count = 14000;
constexpr std::size_t min_configuration_bytes = 900 * kibibyte;

std::string gateway_name(std::size_t index) {
    return "gateway-" + std::to_string(index);
}

/// @return lines of a process that contain all words
std::vector<std::string> lines_with(const child_process& process,
                                    const std::vector<std::string>& words) {
    std::vector<std::string> found;
    std::istringstream input(process.output());
    for (std::string line; std::getline(input, line);) {
        const bool has_all = std::all_of(words.begin(), words.end(), [&](const std::string& word) {
            return line.find(word) != std::string::npos;
        });
        if (has_all) {
            found.push_back(line);
        }
    }
    return found;
}

bool has_configuration(const child_process& process, std::uint64_t row_version) {
    const auto lines = lines_with(process, {"event=operator_row", "row=config"});
    return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
        return log_field_value(line, "version") == std::to_string(row_version);
    });
}

/// Eight gateways and one sidecar in each of two zones. The two gateways of zone-a that read the
/// operator's table for their zone, those with the lowest names, have slow links.
class slow_readers : public ::testing::Test {
protected:
    void SetUp() override {
        std::set<std::string> names;
        for (std::size_t i = 0; i < world.gateway_count(); i += platform_world::zone_count) {
            names.insert(gateway_name(i));
        }
        for (const auto& name : names) {
            if (links.size() < readers_per_zone) {
                links[name] = std::make_shared<shared_link>(link_bytes_per_second);
            }
        }
        for (const auto& name : names) {
            world.set_gateway_store(std::stoul(name.substr(name.find('-') + 1)),
                                    add_store_address(name));
        }
        world.set_sidecar_store(0, add_store_address("sidecar-0"));
        ASSERT_TRUE(world.start());
        std::this_thread::sleep_for(settling_time);
    }

    /// @return an address of the store whose list of members leads over the links
    std::string add_store_address(const std::string& reader) {
        return world.store.add_address([this, reader](const std::string& table,
                                                      const std::string& key,
                                                      const std::string& value) {
            const bool is_behind_link =
                links.count(key) > 0 || (links.count(reader) > 0 && is_in_zone_a(key));
            return table == members_table && key != reader && is_behind_link
                       ? add_relay(reader, key, value)
                       : value;
        });
    }

    bool is_in_zone_a(const std::string& key) const {
        for (std::size_t i = 0; i < world.gateway_count(); i += platform_world::zone_count) {
            if (key == gateway_name(i)) {
                return true;
            }
        }
        return false;
    }

    std::string add_relay(const std::string& from, const std::string& to,
                          const std::string& value) {
        auto row = nlohmann::json::parse(value);
        const std::lock_guard<std::mutex> lock(mutex);
        auto& connection = relays[{from, to}];
        if (connection == nullptr) {
            connection = std::make_unique<relay>(row.at("peer").get<std::string>());
            connection->set_links(link_of(from), link_of(to));
        }
        row["peer"] = connection->address();
        return row.dump();
    }

    std::shared_ptr<shared_link> link_of(const std::string& name) const {
        const auto found = links.find(name);
        return found == links.end() ? nullptr : found->second;
    }

    /// @return the processes of zone-a that do not have a configuration
    std::string processes_without(std::uint64_t row_version) {
        std::string names;
        for (std::size_t i = 0; i < world.gateway_count(); i += platform_world::zone_count) {
            names += has_configuration(world.gateway(i), row_version) ? "" : gateway_name(i) + " ";
        }
        return names + (has_configuration(world.sidecar(0), row_version) ? "" : "sidecar-0");
    }

    /// @return the copies that the gateways of zone-a received
    std::string copies() {
        std::string text;
        for (std::size_t i = 0; i < world.gateway_count(); i += platform_world::zone_count) {
            for (const auto& line :
                 lines_with(world.gateway(i), {"event=rows_from_member", "table=op"})) {
                text += gateway_name(i) + " from " + log_field_value(line, "member") + ", " +
                        log_field_value(line, "bytes") + " bytes after " +
                        log_field_value(line, "waited_ms") + " ms\n";
            }
        }
        return text;
    }

    static constexpr std::size_t gateways_per_zone = 8;
    static constexpr std::size_t readers_per_zone = 2;
    /// A link takes most of a second for one copy, and twice the bound for copies to the whole
    /// zone.
    static constexpr std::size_t link_bytes_per_second = mebibyte;

    std::mutex mutex;
    std::map<std::string, std::shared_ptr<shared_link>> links; ///< of the readers, by instance
    std::map<std::pair<std::string, std::string>, std::unique_ptr<relay>> relays;
    platform_world world{gateways_per_zone};
};

// Guards against a zone that waits for the link of the first gateway that announces a row, while
// other gateways have received it.
TEST_F(slow_readers, large_configuration_is_in_force_in_time_in_the_whole_zone) {
    const auto version = world.put_configuration(2, true, tenant_count);
    ASSERT_GE(world.store.value("op", "config").size(), min_configuration_bytes);
    wait_until([&] { return processes_without(version).empty(); }, apply_bound);
    EXPECT_EQ(processes_without(version), "");
    if (HasFailure()) {
        wait_until([&] { return processes_without(version).empty(); }, milliseconds(10000));
        ADD_FAILURE() << copies();
    }
}

/// One gateway and one sidecar in each of two zones. The gateways reach the store over slow links.
class slow_store : public ::testing::Test {
protected:
    void SetUp() override {
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            links.push_back(std::make_unique<relay>(world.store.address()));
            world.set_gateway_store(i, links.back()->address());
        }
        ASSERT_TRUE(world.start());
    }

    std::vector<std::unique_ptr<relay>> links;
    platform_world world;
};

// Guards against reads of the store that are given up while rows arrive.
TEST_F(slow_store, large_configuration_arrives_while_the_store_sends_it) {
    // The configuration takes 5 s, as the store encodes it.
    for (const auto& link : links) {
        link->set_target_rate(256 * kibibyte);
    }
    const auto version = world.put_configuration(2, true, tenant_count);
    ASSERT_GE(world.store.value("op", "config").size(), min_configuration_bytes);
    for (std::size_t i = 0; i < world.gateway_count(); ++i) {
        EXPECT_TRUE(wait_until([&] { return has_configuration(world.gateway(i), version); },
                               milliseconds(8000)))
            << gateway_name(i);
    }
}

/// One gateway and one sidecar in each of two zones. The first sidecar has its own address of the
/// store, where its reads of the configuration are counted.
class sidecar_rows : public ::testing::Test {
protected:
    void SetUp() override {
        world.set_sidecar_store(
            0, world.store.add_address([this](const std::string& table, const std::string& key,
                                              const std::string& value) {
                read_count += table == "op" && key == "config" ? 1 : 0;
                return value;
            }));
        ASSERT_TRUE(world.start());
    }

    std::atomic<int> read_count{0};
    platform_world world;
};

// Guards against large configurations on the links of engines, whose sidecars use a few fields.
TEST_F(sidecar_rows, sidecar_that_starts_takes_only_what_it_uses_of_a_large_configuration) {
    const auto version = world.put_configuration(2, true, tenant_count);
    ASSERT_TRUE(
        wait_until([&] { return has_configuration(world.gateway(0), version); }, apply_bound));
    read_count = 0;
    world.restart_sidecar(0);
    ASSERT_TRUE(
        wait_until([&] { return has_configuration(world.sidecar(0), version); }, apply_bound));
    EXPECT_EQ(read_count, 0) << "reads of the store";
    constexpr int max_bytes = 64 * kibibyte;
    // A process names its copies after the rows in them.
    const auto copies = [this] {
        return lines_with(world.sidecar(0), {"event=rows_from_member", "table=op"});
    };
    ASSERT_TRUE(wait_until(
        [&] {
            const auto lines = copies();
            return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
                return std::stoull(log_field_value(line, "version")) >= version;
            });
        },
        apply_bound));
    for (const auto& line : copies()) {
        EXPECT_LE(std::stoi(log_field_value(line, "bytes")), max_bytes) << line;
    }
}

} // namespace
