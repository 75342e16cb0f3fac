// How gateways share the rows of the store within a zone.
#include <algorithm>
#include <array>
#include <sstream>

#include <gtest/gtest.h>

#include "citronseam/process/sizes.h"

#include "support/platform_world.h"
#include "support/relay.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr std::size_t gateways_per_zone = 3;
/// Longer than the 6 s during which started processes connect to all others to introduce
/// themselves.
constexpr milliseconds settling_time{7000};
/// Shorter than the 1.3 s without a new version after which a gateway may count as not reading.
constexpr milliseconds server_row_interval{200};
constexpr milliseconds quiet_time{3000};
/// Time in which further copies of a row would arrive: twice the interval of requests for rows.
constexpr milliseconds further_copies_time{1000};
/// How often the zone's reader reads the server list; the other gateways do not.
constexpr milliseconds reader_interval{400};

std::vector<std::string> lines_with(const std::string& text,
                                    const std::vector<std::string>& words) {
    std::vector<std::string> found;
    std::istringstream input(text);
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

/// @return lines of a process that received operator rows from another one
std::vector<std::string> operator_rows_received(const child_process& process) {
    auto lines = lines_with(process.output(), {"event=rows_from_member", "table=op"});
    lines.erase(
        std::remove_if(lines.begin(), lines.end(),
                       [](const auto& line) { return log_field_value(line, "rows") == "0"; }),
        lines.end());
    return lines;
}

/// Waits until a process has applied the configuration with a version of the store.
bool wait_for_configuration(const child_process& process, std::uint64_t version,
                            milliseconds timeout) {
    const std::string wanted = std::to_string(version);
    return wait_until(
        [&] {
            const auto lines = lines_with(process.output(), {"event=operator_row", "row=config"});
            return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
                return log_field_value(line, "version") == wanted;
            });
        },
        timeout);
}

/// Waits until a process has named the copy that brought it a version of the store, which it does
/// after it has named the rows in it. Its earlier lines are read then.
bool wait_for_copy(const child_process& process, std::uint64_t version, milliseconds timeout) {
    return wait_until(
        [&] {
            const auto lines = operator_rows_received(process);
            return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
                return std::stoull(log_field_value(line, "version")) >= version;
            });
        },
        timeout);
}

/// Three gateways and one sidecar in each of two zones, all connected to each other.
class zone_rows : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(world.start());
        ASSERT_TRUE(wait_until([this] { return is_connected(); }, milliseconds(10000)));
        ASSERT_NO_FATAL_FAILURE(settle());
    }

    /// @return whether each gateway knows all gateways, and each sidecar is connected to all
    bool is_connected() {
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            for (const char* zone : {"zone-a", "zone-b"}) {
                const auto answer = nlohmann::json::parse(world.resolve(i, zone).body);
                if (answer.at("addresses").size() != gateways_per_zone) {
                    return false;
                }
            }
            for (std::size_t j = 0; j < platform_world::zone_count; ++j) {
                const std::string member = "member=gateway-" + std::to_string(i);
                if (lines_with(world.sidecar(j).output(), {"event=member_connected", member})
                        .empty()) {
                    return false;
                }
            }
        }
        return true;
    }

    /// Changes a row of the server list as often as the heartbeats of a few servers would, until
    /// one gateway of each zone reads the list for its zone.
    void settle() {
        const auto settled_at = std::chrono::steady_clock::now() + settling_time;
        while (std::chrono::steady_clock::now() < settled_at) {
            world.put_server_row(*world.engines[0], "drafts", "zone-a");
            std::this_thread::sleep_for(server_row_interval);
        }
        ASSERT_EQ(reader_counts(), one_reader_each) << zone_reader_lines();
    }

    /// @return number of gateways in each zone that take themselves for its reader, which they do
    /// from their start
    std::array<int, platform_world::zone_count> reader_counts() {
        std::array<int, platform_world::zone_count> counts{};
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            const auto lines = lines_with(world.gateway(i).output(), {"event=zone_reader_"});
            const bool is_reader =
                lines.empty() || lines.back().find("zone_reader_started") != std::string::npos;
            counts[i % platform_world::zone_count] += is_reader ? 1 : 0;
        }
        return counts;
    }

    std::string zone_reader_lines() {
        std::string text;
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            for (const auto& line : lines_with(world.gateway(i).output(), {"event=zone_reader_"})) {
                text += "gateway-" + std::to_string(i) + " " + line + "\n";
            }
        }
        return text;
    }

    /// Leaves the store unwritten for a while.
    void keep_store_quiet() {
        const auto version = world.store.version();
        std::this_thread::sleep_for(quiet_time);
        ASSERT_EQ(world.store.version(), version) << "a process wrote to the store";
    }

    static constexpr std::array<int, platform_world::zone_count> one_reader_each{1, 1};
    platform_world world{gateways_per_zone};
};

// Guards against each gateway of a zone sending every operator row to all sidecars of the zone.
TEST_F(zone_rows, operator_row_is_sent_once_to_each_sidecar_while_the_store_is_quiet) {
    ASSERT_NO_FATAL_FAILURE(keep_store_quiet());
    std::vector<std::size_t> received_before;
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        received_before.push_back(operator_rows_received(world.sidecar(i)).size());
    }
    const auto version = world.put_configuration(2, true);
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        ASSERT_TRUE(wait_for_configuration(world.sidecar(i), version, milliseconds(3000)));
    }
    std::this_thread::sleep_for(further_copies_time);
    // One more change, after which all copies of the first one are read.
    const auto last = world.put_configuration(3, true);
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        ASSERT_TRUE(wait_for_copy(world.sidecar(i), last, milliseconds(3000)));
        EXPECT_EQ(operator_rows_received(world.sidecar(i)).size() - received_before[i], 2U)
            << "sidecar-" << i << " received the two rows this often";
    }
}

// Guards against all gateways of a zone polling the server list often when it does not change.
TEST_F(zone_rows, one_gateway_of_each_zone_reads_the_server_list_while_the_store_is_quiet) {
    const auto lines_before = zone_reader_lines();
    ASSERT_NO_FATAL_FAILURE(keep_store_quiet());
    EXPECT_EQ(reader_counts(), one_reader_each) << zone_reader_lines();
    const auto count_started_at = std::chrono::steady_clock::now();
    const int reads_before = world.store.read_count("servers");
    ASSERT_NO_FATAL_FAILURE(keep_store_quiet());
    const int reads = world.store.read_count("servers") - reads_before;
    const auto counted_for = std::chrono::steady_clock::now() - count_started_at;
    EXPECT_LE(reads,
              static_cast<int>(platform_world::zone_count) * (counted_for / reader_interval + 1));
    EXPECT_EQ(zone_reader_lines(), lines_before) << "a gateway took over or gave up the reading";
}

// Pattern: a fleet that starts. Each process read the table of members every 500 ms for two
// seconds.
TEST_F(zone_rows, started_processes_read_the_table_of_members_once) {
    const auto processes = static_cast<int>(world.gateway_count() + platform_world::zone_count);
    const int reads_after_start = world.store.read_count("citronseam_members");
    EXPECT_LE(reads_after_start, 2 * processes) << "one more for a process that found itself alone";
    ASSERT_NO_FATAL_FAILURE(keep_store_quiet());
    EXPECT_LE(world.store.read_count("citronseam_members") - reads_after_start, processes);
}

// Guards against copies of a configuration on the links between regions: each gateway of a zone
// read it from the store.
TEST_F(zone_rows, configuration_is_read_from_the_store_by_two_gateways_of_each_zone) {
    constexpr int readers_per_zone = 2;
    const int fed_before = world.store.feed_count("op");
    const auto version = world.put_configuration(2, true);
    for (std::size_t i = 0; i < world.gateway_count(); ++i) {
        ASSERT_TRUE(wait_for_configuration(world.gateway(i), version, milliseconds(3000)))
            << "gateway-" << i;
    }
    EXPECT_LE(world.store.feed_count("op") - fed_before,
              static_cast<int>(platform_world::zone_count) * readers_per_zone);
}

/// One gateway and one sidecar in each of two zones. The first sidecar reaches each gateway through
/// a relay, because its own store lists the relays as addresses of the gateways.
class slow_links : public ::testing::Test {
protected:
    void SetUp() override {
        world.set_sidecar_store(0, sidecar_store.address());
        ASSERT_TRUE(world.start());
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            ASSERT_NO_FATAL_FAILURE(add_link(i));
        }
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            ASSERT_NE(world.sidecar(0).wait_for_line("event=member_connected member=gateway-" +
                                                         std::to_string(i),
                                                     milliseconds(5000)),
                      "");
        }
        ASSERT_NE(
            world.sidecar(0).wait_for_line("event=rows_from_member table=op", milliseconds(5000)),
            "");
    }

    void add_link(std::size_t gateway) {
        const std::string instance = "gateway-" + std::to_string(gateway);
        ASSERT_TRUE(wait_until([&] { return !world.store.value(members, instance).empty(); },
                               milliseconds(5000)));
        auto row = nlohmann::json::parse(world.store.value(members, instance));
        links.push_back(std::make_unique<relay>(row.at("peer").get<std::string>()));
        row["peer"] = links.back()->address();
        sidecar_store.put(members, instance, row.dump());
    }

    void set_link_rate(std::size_t bytes_per_second) {
        for (const auto& link : links) {
            link->set_target_rate(bytes_per_second);
        }
    }

    static constexpr const char* members = "citronseam_members";
    row_store sidecar_store;
    std::vector<std::unique_ptr<relay>> links;
    platform_world world;
};

// Guards against a sidecar that requests a large row again while the first copy is on its way.
TEST_F(slow_links, large_operator_row_is_sent_once_to_a_sidecar_behind_a_slow_link) {
    const auto received_before = operator_rows_received(world.sidecar(0)).size();
    // Takes 4 s, eight times the interval at which a sidecar may request rows. Routes and tenants
    // are cut out for sidecars, so the padding is neither.
    constexpr std::size_t padding_size = mebibyte;
    set_link_rate(256 * kibibyte);
    const auto version = world.edit_configuration([](nlohmann::json& configuration) {
        configuration["padding"] = std::string(padding_size, 'x');
    });
    ASSERT_TRUE(wait_for_configuration(world.sidecar(0), version, milliseconds(10000)));
    set_link_rate(0);
    std::this_thread::sleep_for(further_copies_time);
    // One more change, after which all copies of the large row are read.
    const auto last = world.edit_configuration(
        [](nlohmann::json& configuration) { configuration.erase("padding"); });
    ASSERT_TRUE(wait_for_copy(world.sidecar(0), last, milliseconds(3000)));
    const auto received = operator_rows_received(world.sidecar(0));
    ASSERT_EQ(received.size() - received_before, 2U);
    EXPECT_GE(std::stoul(log_field_value(received[received.size() - 2], "bytes")), padding_size);
}

} // namespace
