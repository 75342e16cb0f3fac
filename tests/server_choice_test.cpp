// The choice of a backend server under the loads that it must bear.
#include <gtest/gtest.h>

#include "citronseam/request/server_choice.h"

namespace {

using namespace citronseam;

constexpr std::uint64_t seed = 20261203;
const time_point start = time_point{} + std::chrono::hours(1);

/// Servers of one zone with choices that follow each other.
class choice : public ::testing::Test {
protected:
    choice() {
        terms.now = start;
        terms.own_zone = "zone-a";
        terms.own_region = "region-a";
        terms.turnover_ms = 84;
        terms.is_zone_allowed = [](std::string_view) { return true; };
        terms.region_of = [](std::string_view zone) {
            return zone == "zone-a" ? std::string_view("region-a") : std::string_view("region-b");
        };
    }

    server_state& add(const std::string& id, const std::string& zone = "zone-a") {
        auto server = std::make_unique<server_state>();
        server->entry.id = id;
        server->entry.zone = zone;
        server->entry.slots = 16;
        server->entry.weights_version = 1;
        servers.push_back(std::move(server));
        return *servers.back();
    }

    server_choice choose() {
        std::vector<server_state*> all;
        for (const auto& server : servers) {
            all.push_back(server.get());
        }
        return choose_server(all, terms, random);
    }

    choice_terms terms;
    random_source random{seed};
    std::vector<std::unique_ptr<server_state>> servers;
};

TEST_F(choice, a_draining_excluded_or_forbidden_server_is_never_chosen) {
    add("draining").entry.is_draining = true;
    add("tried");
    add("elsewhere", "zone-b");
    terms.excluded = {"tried"};
    terms.is_zone_allowed = [](std::string_view zone) { return zone != "zone-b"; };
    const server_choice chosen = choose();
    EXPECT_EQ(chosen.server, nullptr);
    EXPECT_EQ(chosen.obstacle, choice_obstacle::no_server);
}

TEST_F(choice, weights_that_are_too_old_or_not_exact_do_not_serve) {
    add("old");
    terms.least_weights_version = 2;
    EXPECT_EQ(choose().server, nullptr);
    add("new").entry.weights_version = 3;
    EXPECT_EQ(choose().server->entry.id, "new");
    terms.exact_weights_version = 2;
    EXPECT_EQ(choose().server, nullptr) << "a stream goes on with the weights that it began with";
}

// The pattern: an engine comes back from a load with no requests while all others are full. Every
// gateway sees it idle at the same moment.
TEST_F(choice, gateways_do_not_all_rush_to_an_engine_that_comes_back) {
    constexpr std::size_t gateways = 7;
    constexpr int arrivals_each = 6;
    constexpr double prompt_ms = 31;
    terms.sharers = gateways;
    terms.senders_alike = gateways;
    terms.prompt_ms = prompt_ms;
    terms.waiting_allowance = 2;
    terms.longest_wait_ms = 160;
    std::size_t sent = 0;
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        servers.clear();
        server_state& idle = add("back");
        take_report(idle, {0, 1, false, true, std::nullopt}, start);
        for (int i = 0; i < arrivals_each; ++i) {
            const server_choice chosen = choose();
            if (chosen.server != nullptr) {
                note_sent(*chosen.server, terms);
                ++sent;
            }
        }
    }
    EXPECT_LE(static_cast<double>(sent) * prompt_ms, 2 * 217)
        << "what all send at once is read within about the latency objective";
    EXPECT_GE(sent, gateways);
}

TEST_F(choice, requests_without_a_first_event_make_a_server_slower) {
    server_state& busy = add("reading");
    add("free");
    terms.prompt_ms = 60;
    note_sent(busy, terms);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(choose().server->entry.id, "free");
    }
    note_prompt_read(busy, 60);
    note_ended(busy, exchange_standing::sound, start);
    EXPECT_DOUBLE_EQ(expected_wait_ms(busy, terms), 0);
}

// The pattern: overload. A request that would begin too late takes the place of one in time.
TEST_F(choice, a_server_that_would_answer_too_late_is_full) {
    server_state& server = add("a");
    terms.longest_wait_ms = 100;
    terms.prompt_ms = 80;
    note_sent(server, terms);
    EXPECT_NE(choose().server, nullptr);
    note_sent(server, terms);
    const server_choice chosen = choose();
    EXPECT_EQ(chosen.server, nullptr);
    EXPECT_EQ(chosen.obstacle, choice_obstacle::full);
}

TEST_F(choice, traffic_stays_near_until_near_servers_are_slower) {
    server_state& near = add("near");
    add("far", "zone-b");
    EXPECT_EQ(choose().server->entry.id, "near");
    take_report(near, {17, 1, false, true, std::nullopt}, start);
    terms.waiting_allowance = 4;
    EXPECT_EQ(choose().server->entry.id, "far");
}

// The pattern: a warm server turns cold without notice while it has the usual load.
TEST_F(choice, all_processes_together_stay_within_what_a_cold_server_bears) {
    constexpr std::size_t gateways = 7;
    constexpr double bound = 59;
    terms.sharers = gateways;
    terms.cold_requests_per_second = bound;
    std::size_t sent = 0;
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        servers.clear();
        add("cold");
        for (int i = 0; i < 100; ++i) {
            terms.now = start + milliseconds(i * 9);
            const server_choice chosen = choose();
            if (chosen.server != nullptr) {
                note_sent(*chosen.server, terms);
                note_ended(*chosen.server, exchange_standing::sound, terms.now);
                ++sent;
            }
        }
    }
    EXPECT_LE(static_cast<double>(sent), bound);
    EXPECT_GT(sent, 35U);
}

TEST_F(choice, long_requests_avoid_an_engine_that_loads_soon) {
    server_state& soon = add("soon");
    add("later", "zone-b");
    take_report(soon, {0, 1, false, true, milliseconds(300)}, start);
    terms.expected_duration = milliseconds(200);
    EXPECT_EQ(choose().server->entry.id, "soon");
    terms.expected_duration = milliseconds(900);
    EXPECT_EQ(choose().server->entry.id, "later");
}

TEST_F(choice, a_server_that_breaks_its_answers_is_barred_and_taken_back) {
    server_state& bad = add("bad");
    for (int i = 0; i < 2; ++i) {
        note_sent(bad, terms);
        note_ended(bad, exchange_standing::broken, start);
    }
    EXPECT_EQ(choose().obstacle, choice_obstacle::failing);
    terms.now = start + milliseconds(101);
    EXPECT_EQ(choose().server, &bad) << "one request finds out whether it is sound again";
}

TEST_F(choice, a_report_that_is_old_is_not_used) {
    server_state& server = add("a");
    take_report(server, {16, 1, true, true, std::nullopt}, start);
    EXPECT_EQ(choose().server, nullptr) << "it loads";
    terms.now = start + report_lifetime + milliseconds(1);
    EXPECT_EQ(choose().server, &server);
}

// The pattern: new weights are due in three seconds and each of 20 engines waits two seconds for
// its streams to end, most of them idle meanwhile.
TEST(server_choice, long_streams_leave_an_engine_that_waits_to_load) {
    const time_point now{};
    server_state server;
    constexpr milliseconds rest(1000);
    EXPECT_FALSE(keeps_from_loading(server, rest, now)) << "nothing is known of it";
    engine_report report;
    take_report(server, report, now);
    EXPECT_FALSE(keeps_from_loading(server, rest, now));
    report.is_loading = true;
    take_report(server, report, now);
    EXPECT_TRUE(keeps_from_loading(server, rest, now));
    EXPECT_FALSE(keeps_from_loading(server, milliseconds(200), now)) << "it ends soon by itself";
    EXPECT_FALSE(keeps_from_loading(server, rest, now + report_lifetime + milliseconds(1)));
}

// The pattern: an engine crashes and comes back under another identifier. Its old entry looks idle
// for three heartbeats and draws most requests of every process.
TEST(server_choice, the_entry_of_a_server_that_was_replaced_is_left_alone_for_a_while) {
    random_source random(1);
    server_state replaced;
    replaced.entry.id = "old";
    replaced.entry.slots = 4;
    server_state busy = replaced;
    busy.entry.id = "busy";
    busy.own_running = 3;
    choice_terms terms;
    terms.is_zone_allowed = [](std::string_view) { return true; };
    terms.region_of = [](std::string_view) { return std::string_view{}; };
    terms.now = time_point{} + milliseconds(5000);
    note_ended(replaced, exchange_standing::other, terms.now);
    EXPECT_EQ(choose_server({&replaced, &busy}, terms, random).server, &busy);
    EXPECT_EQ(replaced.failure_share, 0) << "the server itself did nothing wrong";
    terms.now += milliseconds(1001);
    EXPECT_EQ(choose_server({&replaced, &busy}, terms, random).server, &replaced);
}

} // namespace
