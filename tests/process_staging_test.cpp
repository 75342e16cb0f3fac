// Weights that are staged at an engine while it, its sidecar or the announced version changes.
#include <atomic>
#include <csignal>
#include <thread>

#include <gtest/gtest.h>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds load_timeout{8000};
/// From its start, until a sidecar knows the others and fetches newer weights without delay.
constexpr milliseconds settling_time{1200};

class staging : public ::testing::Test {
protected:
    void SetUp() override {
        for (const auto& engine : world.engines) {
            engine->set_unchecked_loads();
        }
        ASSERT_TRUE(world.start()) << world.gateway(0).output() << world.gateway(1).output();
        ASSERT_NE(world.sidecar(0).wait_for_line("event=weights_whole version=1", load_timeout),
                  "");
    }

    bool wait_for_version(std::uint64_t version) {
        return wait_until([&] { return engine().version() == version; }, load_timeout);
    }

    platform_server& engine() { return *world.engines[0]; }

    platform_world world;
};

// Guards against an order whose first pieces were read back before the sidecar stood still.
TEST_F(staging, pieces_that_turned_bad_while_the_sidecar_stood_still_are_not_loaded) {
    constexpr std::size_t read_before = weight_origin::piece_count / 2;
    std::atomic<bool> is_stopped{false};
    engine().set_piece_read_handler([&](std::size_t piece) {
        if (piece == read_before && !is_stopped) {
            world.sidecar(0).send_signal(SIGSTOP);
            engine().spoil_pieces(read_before);
            is_stopped = true;
        }
    });
    world.set_weights_version(2);
    ASSERT_TRUE(wait_until([&] { return is_stopped.load(); }, load_timeout));
    std::this_thread::sleep_for(platform_server::recent_spoilage + milliseconds(500));
    world.sidecar(0).send_signal(SIGCONT);
    EXPECT_TRUE(wait_for_version(2)) << world.sidecar(0).output();
    EXPECT_EQ(engine().wrong_load_count(), 0) << world.sidecar(0).output();
}

// Guards against an order for newer weights on the check of the weights that were refused.
TEST_F(staging, newer_weights_are_staged_after_a_refused_order) {
    std::this_thread::sleep_for(settling_time);
    engine().set_orders_held(true);
    engine().lose_power();
    ASSERT_TRUE(wait_until([&] { return engine().held_order_count() == 1; }, load_timeout));
    world.set_weights_version(2);
    EXPECT_NE(world.sidecar(0).wait_for_line("event=weights_whole version=2", load_timeout), "");
    engine().set_orders_held(false);
    engine().finish_held_orders(true);
    EXPECT_TRUE(wait_for_version(2)) << world.sidecar(0).output();
    EXPECT_EQ(engine().wrong_load_count(), 0) << world.sidecar(0).output();
}

// Guards against newer pieces in the staging area when an order without an answer is executed late.
TEST_F(staging, order_that_is_executed_late_does_not_find_newer_pieces) {
    engine().set_orders_held(true);
    engine().lose_power();
    ASSERT_TRUE(wait_until([&] { return engine().held_order_count() == 1; }, load_timeout));
    world.set_weights_version(2);
    ASSERT_NE(world.sidecar(0).wait_for_line("event=weights_whole version=2", load_timeout), "");
    wait_until([&] { return engine().has_staged(2); }, milliseconds(3000));
    engine().set_orders_held(false);
    engine().finish_held_orders(false);
    EXPECT_TRUE(wait_for_version(2)) << world.sidecar(0).output();
    EXPECT_EQ(engine().wrong_load_count(), 0) << world.sidecar(0).output();
}

// Guards against an order to an engine that started again, without its pieces, during the check.
TEST_F(staging, engine_that_lost_its_pieces_during_the_check_is_not_ordered_to_load) {
    std::atomic<bool> has_lost_power{false};
    engine().set_piece_read_handler([&](std::size_t piece) {
        if (piece + 1 == weight_origin::piece_count && !has_lost_power) {
            has_lost_power = true;
            engine().lose_power();
        }
    });
    world.set_weights_version(2);
    EXPECT_TRUE(wait_for_version(2)) << world.sidecar(0).output();
    EXPECT_TRUE(has_lost_power);
    EXPECT_EQ(engine().wrong_load_count(), 0) << world.sidecar(0).output();
}

} // namespace
