// What one process sends to other zones and regions while nothing changes.
#include <gtest/gtest.h>

#include "citronseam/process/message_rates.h"

namespace {

using namespace citronseam;

constexpr double milliseconds_per_second = 1000;
constexpr double max_messages_per_second = 100;

double messages_per_second(std::size_t receivers, milliseconds interval) {
    return static_cast<double>(receivers) * milliseconds_per_second /
           static_cast<double>(interval.count());
}

// Pattern: 90 engines that report to 149 gateways. Every sidecar reported twice a second to each.
TEST(message_rates, reports_of_one_engine_do_not_grow_with_the_number_of_gateways) {
    for (const std::size_t gateways : {7U, 45U, 149U, 330U}) {
        EXPECT_LE(messages_per_second(gateways, remote_report_interval(gateways)),
                  max_messages_per_second)
            << gateways << " gateways";
    }
}

// Pattern: 149 gateways and 90 sidecars at rest, all connected to each other.
TEST(message_rates, heartbeats_to_other_zones_are_rarer_in_a_large_fleet) {
    EXPECT_EQ(remote_heartbeat_interval(16), milliseconds(1000));
    EXPECT_EQ(remote_heartbeat_interval(238), milliseconds(2000));
    for (const std::size_t connections : {16U, 75U, 200U}) {
        EXPECT_LE(messages_per_second(connections, remote_heartbeat_interval(connections)),
                  max_messages_per_second)
            << connections << " connections";
    }
}

TEST(message_rates, reports_are_as_frequent_as_before_in_a_small_fleet) {
    EXPECT_EQ(remote_report_interval(7), milliseconds(500));
    EXPECT_EQ(remote_report_interval(45), milliseconds(500));
}

TEST(message_rates, late_report_does_not_leave_a_gap) {
    for (const std::size_t gateways : {7U, 45U, 149U, 330U}) {
        const milliseconds interval = remote_report_interval(gateways);
        EXPECT_GE(report_lifetime(interval), interval * 2);
    }
}

} // namespace
