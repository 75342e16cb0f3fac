// Entries and records of another writer in the store, at the start of the processes and during the
// run.
#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds apply_timeout{8000};
/// Several reads of the server list and of the members.
constexpr milliseconds observed_time{2500};
constexpr std::size_t deep_levels = 200000;

std::string nested() {
    return std::string(deep_levels, '[') + std::string(deep_levels, ']');
}

/// Entries that name no engine, each for the service of plain servers.
std::vector<std::string> odd_entries() {
    const auto entry = [](const std::string& address, const std::string& slots,
                          const std::string& cold_ms, const std::string& other) {
        return R"({"service":"desk","zone":"zone-a","state":"ready","version":1,"sequence":1,)"
               R"("address":)" +
               address + R"(,"slots":)" + slots + R"(,"cold_ms":)" + cold_ms + R"(,"other":)" +
               other + "}";
    };
    const std::string address = R"("127.0.0.1:1")";
    return {"",
            std::string("\0\xff\xfe", 3),
            "{",
            "7",
            nested(),
            std::string(deep_levels, '['),
            entry(R"("127.0.0.1:0")", "8", "0", "0"),
            entry(R"("127.0.0.1:65536")", "8", "0", "0"),
            entry(R"("127.0.0.1:99999")", "8", "0", "0"),
            entry(R"("127.0.0.1:1/x?y")", "8", "0", "0"),
            entry(R"("127.0.0.1:1\r\nX: y")", "8", "0", "0"),
            entry(R"("")", "8", "0", "0"),
            entry("7", "8", "0", "0"),
            entry(nested(), "8", "0", "0"),
            entry(address, "1e300", "0", "0"),
            entry(address, "1e999", "0", "0"),
            entry(address, "-1", "0", "0"),
            entry(address, "18446744073709551615", "0", "0"),
            entry(address, "8", "9223372036854775807", "0"),
            entry(address, "8", "1e300", "0"),
            entry(address, "8", "0", "\"\xff\"")};
}

/// Records that the store's answers hold beside the sound ones.
std::vector<std::string> odd_records(const std::string& table) {
    const auto record = [&table](const std::string& key, const std::string& rest) {
        return R"({"table":")" + table + R"(","part":"","key":)" + key + "," + rest + "}";
    };
    return {"7",
            "null",
            "{}",
            nested(),
            record("7", R"("value":"e30=","ver":1)"),
            record(R"("odd-value")", R"("value":7,"ver":1)"),
            record(R"("odd-bytes")", R"("value":"*","ver":1)"),
            record(R"("odd-drop")", R"("tombstone":"yes","ver":1)"),
            record(R"("odd-high")", R"("value":"e30=","ver":281474976710656)"),
            record(R"("odd-float")", R"("value":"e30=","ver":1e300)"),
            record(R"("odd-deep")", R"("value":"e30=","ver":)" + nested())};
}

class odd_entries_world : public ::testing::Test {
protected:
    void put_odd_entries(const std::string& name) {
        int number = 0;
        for (const std::string& entry : odd_entries()) {
            const std::string key = name + std::to_string(++number);
            world.store.put("servers", key, entry);
            world.store.put("citronseam_members", key, entry);
        }
    }

    void expect_running_and_ready() {
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            EXPECT_TRUE(world.gateway(i).is_running());
            EXPECT_EQ(world.readiness(i), 200);
        }
        for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
            EXPECT_TRUE(world.sidecar(i).is_running());
        }
    }

    void expect_answers() {
        constexpr int calls = 20;
        for (std::size_t i = 0; i < world.gateway_count(); ++i) {
            for (int call = 0; call < calls; ++call) {
                EXPECT_EQ(call_desk(i).outcome.status, 200);
            }
        }
    }

    http_response call_desk(std::size_t gateway) {
        return world.call(gateway, "GET", "/look/1",
                          {{"Authorization", std::string("Token ") + platform_world::api_key}});
    }

    /// Adds entries and removes them, and waits until each gateway has followed both.
    void expect_followed(const std::string& id) {
        const auto has_all_logged = [&](const std::string& event) {
            const std::string line = event + " server=" + id;
            return wait_until(
                [&] {
                    for (std::size_t i = 0; i < world.gateway_count(); ++i) {
                        if (world.gateway(i).output().find(line + " ") == std::string::npos &&
                            world.gateway(i).output().find(line + "\n") == std::string::npos) {
                            return false;
                        }
                    }
                    return true;
                },
                apply_timeout);
        };
        world.put_foreign_server_row(id, "127.0.0.1:1", "other");
        EXPECT_TRUE(has_all_logged("event=server_listed")) << id;
        world.store.remove("servers", id);
        EXPECT_TRUE(has_all_logged("event=server_gone")) << id;
    }

    platform_world world;
};

// Guards against processes that end, or no longer follow the list, since one entry of it is odd.
TEST_F(odd_entries_world, odd_entries_at_the_start_and_during_the_run_change_nothing_else) {
    put_odd_entries("first-");
    ASSERT_TRUE(world.start());
    expect_followed("next-1");
    expect_answers();
    put_odd_entries("second-");
    put_odd_entries("first-"); // as new versions
    std::this_thread::sleep_for(observed_time);
    expect_followed("next-2");
    expect_answers();
    expect_running_and_ready();
    ASSERT_TRUE(world.restart_gateway(0));
    expect_answers();
}

// Guards against a list that can no longer be read since one record of the store's answers is odd.
TEST_F(odd_entries_world, odd_records_in_the_answers_change_nothing_else) {
    world.store.set_raw_records("servers", odd_records("servers"));
    ASSERT_TRUE(world.start());
    expect_followed("next-1");
    expect_answers();
    world.store.set_raw_records("servers", {});
    expect_followed("next-2");
    world.store.set_raw_records("servers", odd_records("servers"));
    world.store.set_raw_records("citronseam_members", odd_records("citronseam_members"));
    world.store.set_raw_records("op", odd_records("op"));
    std::this_thread::sleep_for(observed_time);
    expect_followed("next-3");
    const std::uint64_t version = world.put_configuration(2, true);
    EXPECT_TRUE(wait_until(
        [&] {
            return world.gateway(0).output().find("event=configuration_in_force version=2") !=
                   std::string::npos;
        },
        apply_timeout))
        << version;
    expect_answers();
    expect_running_and_ready();
}

} // namespace
