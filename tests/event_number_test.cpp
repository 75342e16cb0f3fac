// The numbers of events, at the ends of their range.
#include <gtest/gtest.h>

#include "citronseam/request/event_stream.h"

namespace {

using namespace citronseam;

// Guards against an event that is forwarded after the highest number, from which no number follows.
TEST(event_number, none_follows_the_highest_one) {
    EXPECT_EQ(classify_event(UINT64_MAX - 1, UINT64_MAX), event_order::next);
    EXPECT_EQ(classify_event(UINT64_MAX, UINT64_MAX), event_order::duplicate);
    EXPECT_EQ(classify_event(UINT64_MAX, 0), event_order::duplicate);
    EXPECT_EQ(classify_event(0, UINT64_MAX), event_order::gap);
}

} // namespace
