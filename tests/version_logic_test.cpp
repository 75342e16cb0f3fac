// Decision logic of model versions: manifests, chunk selection, rate limits, permits.
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "citronseam/version/announced_versions.h"
#include "citronseam/version/chunk_bitmap.h"
#include "citronseam/version/chunk_selection.h"
#include "citronseam/version/chunk_store.h"
#include "citronseam/version/fetch_order.h"
#include "citronseam/version/link_pacer.h"
#include "citronseam/version/permit.h"
#include "citronseam/version/sha256.h"
#include "citronseam/version/staging_check.h"
#include "citronseam/version/token_bucket.h"

namespace {

using namespace citronseam;

constexpr std::uint64_t seed = 20261203;

std::vector<swarm_member> members_of(const std::string& region, int count) {
    std::vector<swarm_member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back({region + "-" + std::to_string(i), "", region, true});
    }
    return members;
}

TEST(manifest, its_identity_covers_every_chunk) {
    const std::string weights(100000, 'w');
    const manifest list = make_manifest("name", weights, 30000);
    ASSERT_EQ(list.chunks.size(), 4U);
    EXPECT_EQ(list.chunks.back().size, 10000U);
    const std::string text = to_json(list);
    EXPECT_TRUE(parse_manifest(text, sha256_hex(text)).has_value());
    EXPECT_FALSE(parse_manifest(text, sha256_hex("other")).has_value());
    EXPECT_TRUE(is_chunk_valid(list, 3, std::string(10000, 'w')));
    EXPECT_FALSE(is_chunk_valid(list, 3, std::string(9999, 'w') + "x"));
    EXPECT_FALSE(is_chunk_valid(list, 4, ""));
}

TEST(manifest, sizes_that_do_not_add_up_are_rejected) {
    manifest list = make_manifest("name", std::string(1000, 'w'), 300);
    list.total_size = 999;
    const std::string text = to_json(list);
    EXPECT_FALSE(parse_manifest(text, sha256_hex(text)).has_value());
}

TEST(chunk_store, respects_its_limit_and_shares_chunks_between_versions) {
    chunk_store store;
    store.limit_bytes = 10;
    EXPECT_TRUE(add_chunk(store, "a", std::make_shared<const std::string>("12345")));
    EXPECT_TRUE(add_chunk(store, "a", std::make_shared<const std::string>("12345")));
    EXPECT_EQ(store.used_bytes, 5U);
    EXPECT_FALSE(add_chunk(store, "b", std::make_shared<const std::string>("123456")));
    manifest next;
    next.chunks = {{"a", 5}, {"c", 5}};
    retain_chunks(store, {&next});
    EXPECT_EQ(count_held_chunks(store, next), 1U);
    next.chunks = {{"c", 5}};
    retain_chunks(store, {&next});
    EXPECT_EQ(store.used_bytes, 0U);
}

TEST(chunk_selection, exactly_one_agent_of_a_region_has_rank_0_for_a_chunk) {
    const auto members = members_of("r", 20);
    std::map<std::string, int> assigned_counts;
    for (std::size_t chunk = 0; chunk < 400; ++chunk) {
        std::set<std::uint32_t> ranks;
        for (const auto& member : members) {
            const auto rank = regional_fetch_rank("version", chunk, member.instance, "r", members);
            ranks.insert(rank);
            assigned_counts[member.instance] += rank == 0 ? 1 : 0;
        }
        EXPECT_EQ(ranks.size(), members.size()) << "each rank must occur exactly once";
    }
    for (const auto& [instance, count] : assigned_counts) {
        EXPECT_GT(count, 5) << instance << " has too small a share of 400 / 20";
    }
}

TEST(chunk_selection, neighbours_are_bounded_and_include_senders_of_the_origin_region) {
    auto members = members_of("far", 100);
    const auto origin_members = members_of("origin", 100);
    members.insert(members.end(), origin_members.begin(), origin_members.end());
    const auto chosen = choose_neighbours("far-3", "far", "origin", members);
    EXPECT_LE(chosen.size(), 12U);
    EXPECT_TRUE(std::any_of(chosen.begin(), chosen.end(),
                            [](const auto& member) { return member.region == "origin"; }));
    std::set<std::string> senders;
    for (const auto& member : members) {
        for (const auto& other : choose_neighbours(member.instance, "far", "origin", members)) {
            if (member.region == "far" && other.region == "origin") {
                senders.insert(other.instance);
            }
        }
    }
    EXPECT_EQ(senders.size(), senders_per_remote_region)
        << "all agents of a region know the same senders";
    for (const auto& member : choose_neighbours("origin-3", "origin", "origin", members)) {
        EXPECT_EQ(member.region, "origin");
    }
}

/// The neighbour graph must be connected, or a chunk would not reach every agent.
TEST(chunk_selection, neighbours_connect_all_agents_of_a_region) {
    for (const int count : {2, 8, 64, 200}) {
        const auto members = members_of("r", count);
        std::map<std::string, std::set<std::string>> edges;
        for (const auto& member : members) {
            for (const auto& other : choose_neighbours(member.instance, "r", "r", members)) {
                edges[member.instance].insert(other.instance);
                edges[other.instance].insert(member.instance);
            }
        }
        std::set<std::string> reached{members.front().instance};
        std::vector<std::string> frontier{members.front().instance};
        while (!frontier.empty()) {
            const std::string next = frontier.back();
            frontier.pop_back();
            for (const auto& other : edges[next]) {
                if (reached.insert(other).second) {
                    frontier.push_back(other);
                }
            }
        }
        EXPECT_EQ(reached.size(), members.size());
    }
}

fetch_state state_of(std::size_t chunks, std::size_t neighbours) {
    fetch_state state;
    state.wanted.assign(chunks, true);
    state.ranks.assign(chunks, 1);
    state.neighbours.resize(neighbours);
    for (auto& neighbour : state.neighbours) {
        neighbour.held.assign(chunks, false);
    }
    return state;
}

TEST(chunk_selection, a_started_agent_uses_the_origin_once_its_member_list_is_stable) {
    constexpr milliseconds settling_time(500);
    EXPECT_FALSE(is_membership_stable(milliseconds(20), milliseconds(20), settling_time));
    EXPECT_FALSE(is_membership_stable(milliseconds(900), milliseconds(400), settling_time));
    EXPECT_TRUE(is_membership_stable(milliseconds(1000), milliseconds(500), settling_time));
    EXPECT_TRUE(is_membership_stable(milliseconds(2000), milliseconds(0), settling_time))
        << "membership changes after startup do not matter";
    EXPECT_TRUE(is_membership_stable(milliseconds(0), milliseconds(0), milliseconds(0)));
}

TEST(chunk_selection, a_region_that_was_just_disconnected_does_not_use_the_origin) {
    // Its agents see only each other, but the origin's region already holds most chunks.
    const std::vector<swarm_member> disconnected{{"b1", "", "b"}, {"b2", "", "b"}};
    const milliseconds failover_delay(1000);
    EXPECT_FALSE(
        has_direct_origin_access("b", "a", disconnected, milliseconds(900), failover_delay));
    EXPECT_TRUE(
        has_direct_origin_access("b", "a", disconnected, milliseconds(2000), failover_delay))
        << "the origin's region is gone for good";
    EXPECT_TRUE(has_direct_origin_access("b", "a", disconnected, std::nullopt, failover_delay))
        << "the origin's region never had members";
    EXPECT_TRUE(has_direct_origin_access("a", "a", {}, milliseconds(0), failover_delay));
    const std::vector<swarm_member> joined{{"a1", "", "a"}, {"b1", "", "b"}};
    EXPECT_FALSE(has_direct_origin_access("b", "a", joined, std::nullopt, failover_delay));
}

TEST(chunk_selection, each_chunk_has_one_origin_fetcher_over_all_regions) {
    constexpr int count = 9;
    std::vector<swarm_member> members;
    members.reserve(count);
    for (int i = 0; i < count; ++i) {
        members.push_back({"s" + std::to_string(i), "", "r" + std::to_string(i % 3), true});
    }
    constexpr std::size_t chunks = 64;
    std::vector<std::set<std::uint32_t>> ranks(chunks);
    for (const auto& member : members) {
        const auto own = origin_fetch_ranks("m:2", chunks, member.instance, members);
        for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
            ranks[chunk].insert(own[chunk]);
        }
        // With unbounded hashing, one of 20 members was assigned 12 of 64 chunks, and all others
        // waited for its last one.
        EXPECT_LE(std::count(own.begin(), own.end(), 0U), 8) << member.instance;
    }
    for (const auto& of_chunk : ranks) {
        EXPECT_EQ(of_chunk.size(), members.size());
    }
}

// Guards against a stalled import: the agent of the first rank for a chunk may have no neighbour in
// the other region that holds it.
TEST(chunk_selection, the_next_rank_imports_a_chunk_after_a_short_delay) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.neighbours[0].held = {true};
    state.neighbours[0].is_same_region = false;
    state.ranks = {2};
    state.origin_fetch_ranks = {5};
    state.remote_only_durations = {import_failover_delay};
    EXPECT_FALSE(choose_fetch(state, random).has_value())
        << "only the first two ranks may import it yet";
    state.remote_only_durations = {import_failover_delay * 2};
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

// Guards against a fetch that stops for good: after a power loss all sidecars request from the only
// one that still holds the chunks. Each neighbour was excluded after three timeouts, and without
// new inventories none was readmitted.
TEST(chunk_selection, a_timed_out_neighbour_is_readmitted_after_a_cooldown) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.neighbours[0].held = {true};
    state.neighbours[0].timed_out_chunks = max_timed_out_chunks;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    readmit_timed_out_neighbour(state.neighbours[0], milliseconds(899), milliseconds(900));
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    readmit_timed_out_neighbour(state.neighbours[0], milliseconds(900), milliseconds(900));
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

// Guards against overloading a single holder: after a power loss one sidecar still holds all chunks
// and 14 others request four each. Its answers then take two seconds, so that all requests time out
// and are repeated.
TEST(chunk_selection, requests_to_the_only_holder_are_limited_by_its_response_time) {
    random_source random(seed);
    fetch_state state = state_of(8, 1);
    state.neighbours[0].held.assign(8, true);
    state.origin_fetch_ranks = {0, 1, 2, 3, 4, 5, 6, 7};
    state.remote_only_durations.assign(8, milliseconds(0));
    state.neighbours[0].outstanding_requests = 2;
    const auto choice = choose_fetch(state, random);
    ASSERT_TRUE(choice.has_value()) << "its own chunk is fetched from the origin meanwhile";
    EXPECT_EQ(choice->chunk, 0U);
    EXPECT_FALSE(choice->neighbour.has_value());
    state.wanted[0] = false;
    EXPECT_FALSE(choose_fetch(state, random).has_value()) << "its response time is not known yet";
    state.neighbours[0].response_time_ms = 130;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
    state.neighbours[0].response_time_ms = 900;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    state.neighbours[0].outstanding_requests = 0;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

TEST(chunk_selection, outstanding_requests_are_limited) {
    random_source random(seed);
    fetch_state state = state_of(4, 1);
    state.neighbours[0].held.assign(4, true);
    state.max_requests = 3;
    state.neighbours[0].response_time_ms = 60;
    state.neighbours[0].outstanding_requests = 2;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
    state.origin_requests = 1;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
}

TEST(chunk_selection, a_fast_neighbour_is_preferred_to_a_slow_one) {
    random_source random(seed);
    fetch_state state = state_of(1, 2);
    state.neighbours[0].held = {true};
    state.neighbours[1].held = {true};
    state.neighbours[0].response_time_ms = 400;
    state.neighbours[1].response_time_ms = 60;
    state.neighbours[1].outstanding_requests = 2;
    EXPECT_EQ(choose_fetch(state, random)->neighbour, std::optional<std::size_t>(1));
}

TEST(chunk_selection, fetches_the_rarest_chunk_first) {
    random_source random(seed);
    fetch_state state = state_of(3, 3);
    state.neighbours[0].held = {true, true, true};
    state.neighbours[1].held = {true, false, true};
    state.neighbours[2].held = {true, false, true};
    const auto choice = choose_fetch(state, random);
    ASSERT_TRUE(choice.has_value());
    EXPECT_EQ(choice->chunk, 1U);
    EXPECT_EQ(choice->neighbour, std::optional<std::size_t>(0));
}

TEST(chunk_selection, fetches_only_its_own_chunks_from_the_origin_until_progress_stalls) {
    random_source random(seed);
    fetch_state state = state_of(2, 0);
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    state.failover_level = compute_failover_level(milliseconds(2500), milliseconds(2000));
    EXPECT_TRUE(choose_fetch(state, random).has_value()) << "the next rank takes over";
    state.origin_requests = state.max_origin_requests;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
}

TEST(chunk_selection, only_the_first_rank_fetches_from_another_region) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.has_direct_origin_access = false;
    state.neighbours[0].is_same_region = false;
    state.neighbours[0].held = {true};
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    state.ranks[0] = 0;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

TEST(chunk_selection, senders_to_a_region_share_its_chunks_evenly) {
    constexpr std::size_t chunks = 128;
    random_source random(seed);
    fetch_state state = state_of(chunks, senders_per_remote_region);
    state.has_direct_origin_access = false;
    state.ranks.assign(chunks, 0);
    state.sender_count = senders_per_remote_region;
    for (std::size_t i = 0; i < senders_per_remote_region; ++i) {
        state.neighbours[i].is_same_region = false;
        state.neighbours[i].sender_index = i;
        state.neighbours[i].held.assign(chunks, true);
    }
    std::vector<std::size_t> sent(senders_per_remote_region);
    // Each chunk is fetched by a different agent, without knowledge of the other requests.
    for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
        state.wanted.assign(chunks, false);
        state.wanted[chunk] = true;
        ++sent[*choose_fetch(state, random)->neighbour];
    }
    EXPECT_EQ(sent, std::vector<std::size_t>(senders_per_remote_region,
                                             chunks / senders_per_remote_region));
}

TEST(chunk_selection, another_sender_replaces_one_that_timed_out) {
    random_source random(seed);
    fetch_state state = state_of(1, 2);
    state.has_direct_origin_access = false;
    state.ranks[0] = 0;
    state.sender_count = 2;
    for (std::size_t i = 0; i < 2; ++i) {
        state.neighbours[i].is_same_region = false;
        state.neighbours[i].sender_index = i;
    }
    state.neighbours[1].held = {true};
    EXPECT_FALSE(choose_fetch(state, random).has_value())
        << "the chunk is assigned to the first sender";
    state.neighbours[0].timed_out_chunks = max_timed_out_chunks;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
    state.neighbours[0].timed_out_chunks = 0;
    state.neighbours[0].sender_index.reset();
    EXPECT_TRUE(choose_fetch(state, random).has_value()) << "the first sender is not connected";
}

TEST(chunk_selection, a_neighbour_that_sends_corrupt_chunks_gets_no_more_requests) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.neighbours[0].held = {true};
    state.neighbours[0].corrupt_chunks = max_corrupt_chunks;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
}

/// A sidecar that fetches version 2 when version 3 is announced.
struct fetching_sidecar {
    milliseconds older_delay; ///< from the announcement of version 2 until it learns of it
    milliseconds newer_delay; ///< likewise of version 3
};

/// @param max_delay_ms maximum of the delays
std::vector<fetching_sidecar> make_fetching_sidecars(std::uint64_t max_delay_ms) {
    constexpr int count = 58;
    random_source random(seed);
    std::vector<fetching_sidecar> sidecars;
    sidecars.reserve(count);
    for (int i = 0; i < count; ++i) {
        const milliseconds older_delay(random_below(random, max_delay_ms + 1));
        const milliseconds newer_delay(random_below(random, max_delay_ms + 1));
        sidecars.push_back({older_delay, newer_delay});
    }
    return sidecars;
}

constexpr time_point first_announcement{std::chrono::seconds(100)};
constexpr fetch_order_params order_params{milliseconds(8000), milliseconds(4000),
                                          milliseconds(1000)};

/// @return the plan of a sidecar that started long ago with version 1
/// @param learned when it learned of versions 2, 3, ..., after first_announcement
std::vector<planned_fetch> make_plan(const std::vector<milliseconds>& learned,
                                     const fetch_order_params& params = order_params) {
    std::vector<planned_fetch> plan;
    std::uint64_t version = 1;
    add_to_plan(plan, version, time_point{}, params);
    for (const milliseconds at : learned) {
        add_to_plan(plan, ++version, first_announcement + at, params);
    }
    return plan;
}

/// @return the version that a sidecar fetches
/// @param minimum lowest version that it may fetch
/// @param at      time after first_announcement
std::uint64_t version_at(const std::vector<planned_fetch>& plan, std::uint64_t minimum,
                         milliseconds at) {
    const planned_fetch* current = find_current_fetch(plan, minimum, first_announcement + at);
    return current == nullptr ? 0 : current->version;
}

/// @return number of sidecars by the version that they fetch
/// @param gap time between the announcements of versions 2 and 3
/// @param at  time after the announcement of version 3, when all have learned of it
std::map<std::uint64_t, int> count_versions(const std::vector<fetching_sidecar>& sidecars,
                                            milliseconds gap, milliseconds at) {
    std::map<std::uint64_t, int> counts;
    for (const auto& sidecar : sidecars) {
        const auto plan = make_plan({sidecar.older_delay, gap + sidecar.newer_delay});
        ++counts[version_at(plan, 2, gap + at)];
    }
    return counts;
}

// Guards against a swarm that divides: each sidecar chose by its own progress, 17 of 58 finished
// the older version and 41 turned to the newer one, and neither part got all chunks.
TEST(fetch_order, sidecars_with_differing_progress_choose_the_same_version) {
    constexpr milliseconds max_delay(120);
    auto counts =
        count_versions(make_fetching_sidecars(max_delay.count()), milliseconds(2000), max_delay);
    EXPECT_EQ(counts.size(), 1U) << counts[2] << " finish version 2, " << counts[3]
                                 << " turn to version 3";
}

// Guards against a swarm that divides by small differences in the times of learning.
TEST(fetch_order, differences_in_learned_times_divide_sidecars_only_near_the_minimum) {
    constexpr milliseconds max_delay(200);
    constexpr milliseconds min_fetched(1000);
    const auto sidecars = make_fetching_sidecars(max_delay.count());
    for (milliseconds gap(0); gap <= order_params.switch_deadline; gap += milliseconds(10)) {
        auto counts = count_versions(sidecars, gap, max_delay);
        if (counts.size() > 1) {
            // The older version may just have ended; sidecars notice it up to max_delay apart.
            counts = count_versions(sidecars, gap, 2 * max_delay);
        }
        const bool is_near = gap > min_fetched - max_delay && gap < min_fetched + max_delay;
        EXPECT_TRUE(counts.size() == 1 || is_near)
            << "after " << gap.count() << " ms " << counts[2] << " finish version 2, " << counts[3]
            << " turn to version 3";
    }
}

// Guards against chunks of the older version that delay the newer one for nothing.
TEST(fetch_order, a_version_that_has_just_begun_is_left) {
    // Both could be complete in time.
    constexpr fetch_order_params params{milliseconds(20000), milliseconds(4000),
                                        milliseconds(1000)};
    const auto plan = make_plan({milliseconds(0), milliseconds(900)}, params);
    EXPECT_EQ(version_at(plan, 2, milliseconds(900)), 3U);
    const auto later_plan = make_plan({milliseconds(0), milliseconds(1000)}, params);
    EXPECT_EQ(version_at(later_plan, 2, milliseconds(1000)), 2U);
}

// Guards against chunks that the origin sent in vain.
TEST(fetch_order, a_version_well_under_way_is_finished_first) {
    const auto plan = make_plan({milliseconds(0), milliseconds(2000)});
    EXPECT_EQ(version_at(plan, 2, milliseconds(2000)), 2U);
    EXPECT_EQ(version_at(plan, 2, milliseconds(4000)), 2U);
    EXPECT_EQ(version_at(plan, 3, milliseconds(4000)), 3U) << "version 2 is complete";
}

// Guards against a newer version that is late because an older one was finished first.
TEST(fetch_order, a_version_is_left_when_the_newer_one_would_be_late) {
    constexpr fetch_order_params params{milliseconds(6000), milliseconds(4000), milliseconds(1000)};
    const auto plan = make_plan({milliseconds(0), milliseconds(2000)}, params);
    EXPECT_EQ(version_at(plan, 2, milliseconds(2000)), 3U);
}

// Guards against a stalled version that holds up the newer one: the origin may be gone.
TEST(fetch_order, a_stalled_version_is_left_when_it_cannot_be_served_in_time) {
    const milliseconds end = order_params.switch_deadline - order_params.load_duration;
    for (const milliseconds gap : {milliseconds(2000), milliseconds(6000)}) {
        const auto plan = make_plan({milliseconds(0), gap});
        EXPECT_EQ(version_at(plan, 2, end - milliseconds(1)), 2U);
        EXPECT_EQ(version_at(plan, 2, end), 3U);
    }
}

// Guards against a fetch slower than expected that is given up when it is nearly complete.
TEST(fetch_order, a_slow_version_is_not_left_while_it_can_be_served_in_time) {
    const auto plan = make_plan({milliseconds(0), milliseconds(2000)});
    EXPECT_EQ(version_at(plan, 2, milliseconds(6500)), 2U);
}

// Guards against a swarm that divides when versions queue: some sidecars have begun the second one.
TEST(fetch_order, a_version_that_still_waits_is_superseded) {
    const auto plan = make_plan({milliseconds(0), milliseconds(2000), milliseconds(4000)});
    EXPECT_EQ(version_at(plan, 2, milliseconds(4000)), 2U);
    EXPECT_EQ(version_at(plan, 3, milliseconds(4000)), 4U) << "version 2 is complete";
    const auto begun = make_plan({milliseconds(0), milliseconds(2000), milliseconds(6000)});
    EXPECT_EQ(version_at(begun, 3, milliseconds(6000)), 3U) << "version 3 began at 4 s";
    EXPECT_EQ(version_at(begun, 4, milliseconds(6000)), 4U) << "version 3 is complete";
}

// Guards against sidecars that fetch a version from the origin that the others turn away from.
TEST(fetch_order, a_sidecar_that_has_just_started_turns_to_a_newer_version_at_once) {
    std::vector<planned_fetch> plan;
    add_to_plan(plan, 2, first_announcement, order_params);
    EXPECT_EQ(version_at(plan, 0, milliseconds(0)), 2U);
    add_to_plan(plan, 3, first_announcement + milliseconds(2000), order_params);
    EXPECT_EQ(version_at(plan, 2, milliseconds(2000)), 3U);
    EXPECT_EQ(plan.size(), 1U);
}

TEST(token_bucket, keeps_its_rate_for_any_message_size) {
    time_point now{};
    token_bucket bucket = make_bucket(1000, 100, now);
    std::uint64_t sent = 0;
    while (now < time_point{} + seconds(10)) {
        if (wait_time(bucket, now).count() == 0) {
            consume_tokens(bucket, 37, now);
            sent += 37;
        }
        now += milliseconds(1);
    }
    EXPECT_LE(sent, 1000U * 10 + 100 + 37);
    EXPECT_GE(sent, 1000U * 10 * 98 / 100);
}

TEST(permit, a_holder_stops_before_others_may_acquire) {
    const permit_record record{"agent-a", "mine", 100000};
    EXPECT_TRUE(is_permit_valid(record, "mine", 90000));
    EXPECT_FALSE(is_permit_valid(record, "mine", 98500));
    EXPECT_FALSE(is_permit_valid(record, "other", 90000));
    for (std::uint64_t now = 90000; now < 110000; now += 100) {
        EXPECT_FALSE(is_permit_valid(record, "mine", now) && is_permit_free(record, now)) << now;
    }
    EXPECT_FALSE(is_permit_free(record, 101000));
    EXPECT_TRUE(is_permit_free(record, 102001));
}

TEST(permit, a_rollout_never_takes_the_last_warm_engine) {
    for (std::size_t members = 2; members < 600; ++members) {
        EXPECT_LT(max_concurrent_reloads(members), members);
    }
    EXPECT_EQ(max_concurrent_reloads(1), 1U);
}

TEST(chunk_bitmap, round_trip_and_tolerate_a_truncated_bitmap) {
    std::vector<bool> held(19);
    held[0] = held[8] = held[18] = true;
    EXPECT_EQ(unpack_chunk_bitmap(pack_chunk_bitmap(held), held.size()), held);
    held[18] = false;
    EXPECT_EQ(unpack_chunk_bitmap(pack_chunk_bitmap(held).substr(0, 2), held.size()), held);
}

TEST(link_pacer, remote_regions_are_limited_independently) {
    link_pacer pacer;
    set_rates(pacer, {0, 1000, 0}, time_point{});
    EXPECT_EQ(reserve_send(pacer, "b", false, 2000, time_point{}).count(), 0);
    EXPECT_GT(reserve_send(pacer, "b", false, 2000, time_point{}).count(), 0);
    EXPECT_EQ(reserve_send(pacer, "c", false, 2000, time_point{}).count(), 0);
    EXPECT_EQ(reserve_send(pacer, "a", true, 2000, time_point{}).count(), 0) << "unlimited";
}

constexpr boot_clock::time_point check_start(std::chrono::hours(1));
constexpr boot_clock::time_point check_end = check_start + milliseconds(100);

// Guards against an order on chunks that were read back too long ago; a suspension counts.
TEST(staging_check, its_first_reading_must_be_recent) {
    const staging_check check{2, 1, check_start, check_end};
    const auto last = check_start + max_staging_check_age;
    EXPECT_EQ(may_order(check, {2, 1, check_end, last}), order_permission::granted);
    EXPECT_EQ(may_order(check, {2, 1, check_end, last + milliseconds(1)}),
              order_permission::needs_check);
    EXPECT_EQ(may_order({}, {0, 0, check_end, check_end}), order_permission::needs_check)
        << "nothing was read back";
}

// Guards against an order for newer weights on the check of older ones.
TEST(staging_check, it_covers_one_version) {
    EXPECT_EQ(may_order({2, 1, check_start, check_end}, {3, 1, check_end, check_end}),
              order_permission::needs_check);
}

// Guards against an order to an engine that started again during the check.
TEST(staging_check, it_covers_one_engine_process) {
    const staging_check check{2, 1, check_start, check_end};
    EXPECT_EQ(may_order(check, {2, 1, check_end - milliseconds(1), check_end}),
              order_permission::needs_state);
    EXPECT_EQ(may_order(check, {2, 2, check_end, check_end}), order_permission::needs_check);
}

// Guards against a due time that is counted from when a process learned of the weights: the highest
// age that it hears of holds.
TEST(announced_versions, highest_age_of_an_announcement_holds) {
    const time_point now = time_point(seconds(100));
    announced_versions known;
    EXPECT_EQ(learn_from_table(known, "m", {2, now}), announcement_change::added);
    EXPECT_EQ(learn_from_member(known, "m", {2, now + seconds(1)}), announcement_change::none);
    EXPECT_EQ(learn_from_member(known, "m", {2, now - milliseconds(10)}), announcement_change::none)
        << "a message takes that long";
    EXPECT_EQ(learn_from_member(known, "m", {2, now - seconds(4)}), announcement_change::dated);
    EXPECT_EQ(learn_from_table(known, "m", {2, now}), announcement_change::none);
    EXPECT_EQ(known["m"].front().announced_at, now - seconds(4));
}

// Guards against an assumed age that spreads: every process would take weights for due that one
// process, started since, takes for old.
TEST(announced_versions, assumed_age_gives_way_to_a_known_one_and_replaces_none) {
    const time_point now = time_point(seconds(100));
    announced_versions known;
    EXPECT_EQ(learn_from_table(known, "m", {3, now - seconds(5), true}),
              announcement_change::added);
    EXPECT_EQ(learn_from_member(known, "m", {3, now - seconds(6), true}),
              announcement_change::none);
    EXPECT_EQ(learn_from_member(known, "m", {3, now - seconds(1)}), announcement_change::dated);
    EXPECT_EQ(known["m"].front().announced_at, now - seconds(1));
    EXPECT_FALSE(known["m"].front().is_assumed);

    EXPECT_EQ(learn_from_member(known, "m", {4, now - seconds(5), true}), announcement_change::none)
        << "its row is on the way";
    EXPECT_EQ(learn_from_member(known, "m", {2, now - seconds(9), true}),
              announcement_change::added)
        << "a version that this process has missed";
    EXPECT_EQ(newest_announced(known, "m"), 3U);
}

// Guards against engines with the oldest weights that get requests while the newest are not due: a
// process that missed a version in between must learn when that one was announced.
TEST(announced_versions, versions_that_decide_on_requests_are_told) {
    const time_point now = time_point(seconds(100));
    const milliseconds due{8000};
    const std::vector<announced_version> versions{{1, now - seconds(90)},
                                                  {2, now - seconds(20)},
                                                  {3, now - seconds(6)},
                                                  {4, now - seconds(1)}};
    const auto told = versions_to_tell(versions, due, now);
    ASSERT_EQ(told.size(), 3U);
    EXPECT_EQ(told.front().version, 2U) << "the newest that is due";

    announced_versions known;
    EXPECT_EQ(learn_from_table(known, "m", {4, now}), announcement_change::added);
    for (const announced_version& announced : told) {
        learn_from_member(known, "m", announced);
    }
    ASSERT_EQ(known["m"].size(), 3U);
    EXPECT_EQ(known["m"].front().version, 2U);
    EXPECT_EQ(known["m"].back().announced_at, now - seconds(1));
    EXPECT_EQ(learn_from_table(known, "m", {3, now}), announcement_change::none)
        << "a restored store may list an older version";
    EXPECT_TRUE(versions_to_tell({}, due, now).empty());
}

// Guards against an assumed age that replaces a known one, and against a clock that stood still:
// the age that is told may rise at any time.
TEST(announced_versions, known_age_is_replaced_by_higher_known_ages_only) {
    const time_point now = time_point(seconds(100));
    announced_versions known;
    EXPECT_EQ(learn_from_table(known, "m", {3, now - seconds(1)}), announcement_change::added);
    EXPECT_EQ(learn_from_member(known, "m", {3, now - seconds(6), true}),
              announcement_change::none);
    EXPECT_EQ(learn_from_table(known, "m", {3, now - seconds(6), true}), announcement_change::none);
    EXPECT_EQ(known["m"].front().announced_at, now - seconds(1));
    EXPECT_EQ(learn_from_member(known, "m", {3, now - milliseconds(1100)}),
              announcement_change::dated);
    EXPECT_EQ(learn_from_member(known, "m", {3, now - seconds(5)}), announcement_change::dated);
}

// Guards against heartbeats that tell of one version for ever.
TEST(announced_versions, version_that_has_long_been_due_is_not_told) {
    const time_point now = time_point(seconds(100));
    const milliseconds due{8000};
    EXPECT_EQ(versions_to_tell({{2, now - seconds(37)}}, due, now).size(), 1U);
    EXPECT_TRUE(versions_to_tell({{2, now - seconds(39)}}, due, now).empty());
    EXPECT_EQ(versions_to_tell({{2, now - seconds(39)}, {3, now}}, due, now).size(), 1U);
}

// Guards against a fetch of older weights that goes on beyond its end, since they turned out to
// have been announced earlier than it seemed.
TEST(fetch_order, end_of_a_planned_fetch_moves_with_its_announcement) {
    const time_point start = time_point(seconds(100));
    const fetch_order_params params{milliseconds(16000), milliseconds(4000), milliseconds(1000)};
    std::vector<planned_fetch> plan;
    add_to_plan(plan, 1, start - seconds(60), params);
    add_to_plan(plan, 2, start, params);
    add_to_plan(plan, 3, start + seconds(2), params);
    ASSERT_EQ(plan.front().version, 2U);
    const time_point end = plan.front().ends_at;
    ASSERT_EQ(find_current_fetch(plan, 2, end - seconds(1))->version, 2U);
    correct_plan(plan, 2, start - seconds(4));
    EXPECT_EQ(find_current_fetch(plan, 2, end - seconds(1))->version, 3U);
    EXPECT_EQ(plan.back().announced_at, start + seconds(2));
    EXPECT_EQ(plan.back().ends_at, time_point::max());
}

} // namespace
