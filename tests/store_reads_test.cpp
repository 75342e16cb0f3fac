// How often processes read the store. The rate of all together must not grow with their number.
#include <gtest/gtest.h>

#include "citronseam/process/store_reads.h"

namespace {

using namespace citronseam;

constexpr double milliseconds_per_second = 1000;
/// Sizes of a deployment in gateways and sidecars, up to the plan of the users.
constexpr std::size_t deployment_sizes[] = {16, 75, 239, 2430};

double reads_per_second(std::size_t processes, const member_knowledge& knowledge) {
    return static_cast<double>(processes) * milliseconds_per_second /
           static_cast<double>(members_read_interval(knowledge).count());
}

// Pattern: a fleet without changes. Every process read the table of members every 10 s, 24 reads a
// second of 239 processes.
TEST(store_reads, reads_of_the_table_of_members_do_not_grow_with_the_fleet) {
    constexpr double max_reads_per_second = 2;
    for (const std::size_t processes : deployment_sizes) {
        EXPECT_LE(reads_per_second(processes, {processes, true, false}), max_reads_per_second)
            << processes << " processes";
    }
}

TEST(store_reads, process_that_lacks_others_reads_the_table_of_members_soon) {
    const milliseconds connected = members_read_interval({239, true, false});
    const milliseconds incomplete = members_read_interval({239, true, true});
    const milliseconds alone = members_read_interval({239, false, false});
    EXPECT_LT(incomplete, connected);
    EXPECT_LT(alone, incomplete);
    EXPECT_LE(alone, milliseconds(500));
}

// Guards against DRAIN: a change is read, announced with the next heartbeat, missed by the zone's
// reader, and read by each gateway itself.
TEST(store_reads, missed_change_of_the_server_list_is_read_before_it_is_due) {
    constexpr milliseconds heartbeat{500};
    for (const milliseconds bound : {milliseconds(2000), milliseconds(3000), milliseconds(4000)}) {
        const milliseconds applied =
            servers_read_interval(bound) + heartbeat + max_server_list_lag(bound);
        EXPECT_LE(applied, bound * 9 / 10) << "bound " << bound.count() << " ms";
    }
}

// Guards against CONFIG: a reader of the operator's table that gets no answers is noticed within
// the time in which a configuration is due.
TEST(store_reads, silent_call_for_changes_ends_within_the_time_that_a_change_may_take) {
    EXPECT_EQ(operator_feed_wait(milliseconds(2000)), milliseconds(1000));
    for (const milliseconds due : {milliseconds(2000), milliseconds(3000), milliseconds(4000)}) {
        EXPECT_LE(2 * operator_feed_wait(due), due);
    }
}

TEST(store_reads, copy_that_is_a_read_behind_another_zones_is_not_outdated) {
    for (const milliseconds bound : {milliseconds(2000), milliseconds(3000), milliseconds(4000)}) {
        EXPECT_GE(max_server_list_lag(bound), servers_read_interval(bound) * 3 / 2);
    }
}

} // namespace
