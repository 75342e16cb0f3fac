// Which rows of the server list a gateway passes on to the others of its zone.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "programs/gateway/traffic_view_builder.h"

namespace {

using namespace citronseam;

constexpr int server_count = 95;

class server_list : public ::testing::Test {
protected:
    versioned_row row(int server, std::uint64_t heartbeat, const std::string& state = "ready") {
        const std::string id = "server-" + std::to_string(server);
        const nlohmann::json value{{"service", "drafts"},   {"address", "127.0.0.1:9000"},
                                   {"zone", "zone-a"},      {"slots", 8},
                                   {"state", state},        {"version", 1},
                                   {"cold_ms", 0},          {"sequence", heartbeat},
                                   {"born", 1700000000000}, {"models", nlohmann::json::array()}};
        return {id, value.dump(), ++version_, false};
    }

    std::vector<versioned_row> rows(std::uint64_t heartbeat) {
        std::vector<versioned_row> all;
        all.reserve(server_count);
        for (int server = 0; server < server_count; ++server) {
            all.push_back(row(server, heartbeat));
        }
        return all;
    }

    traffic_view_builder builder{milliseconds(0)};

private:
    std::uint64_t version_{0};
};

// Pattern: 95 servers that do not change. Each sends a heartbeat every 1.2 s, and every gateway of
// the zone was sent all of these rows.
TEST_F(server_list, heartbeats_of_servers_are_not_passed_on) {
    EXPECT_EQ(builder.apply_server_rows(rows(1)).size(), static_cast<std::size_t>(server_count));
    EXPECT_TRUE(builder.apply_server_rows(rows(2)).empty());
}

TEST_F(server_list, changed_and_removed_servers_are_passed_on) {
    builder.apply_server_rows(rows(1));
    std::vector<versioned_row> changed = rows(2);
    changed[3] = row(3, 2, "draining");
    versioned_row removed = row(4, 2);
    removed.is_removed = true;
    changed[4] = removed;
    const auto relevant = builder.apply_server_rows(changed);
    ASSERT_EQ(relevant.size(), 2U);
    EXPECT_EQ(relevant[0].key, "server-3");
    EXPECT_EQ(relevant[1].key, "server-4");
}

TEST_F(server_list, row_that_can_no_longer_be_read_is_passed_on) {
    builder.apply_server_rows(rows(1));
    versioned_row broken = row(5, 2);
    broken.value = "not a row";
    EXPECT_EQ(builder.apply_server_rows({broken}).size(), 1U);
    EXPECT_EQ(builder.build()->servers.size(), static_cast<std::size_t>(server_count) - 1);
}

} // namespace
