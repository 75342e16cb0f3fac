// Decision logic of versions: manifests, who fetches what from where, pacing, permits.
#include <set>

#include <gtest/gtest.h>

#include "citronseam/version/chunk_bitmap.h"
#include "citronseam/version/chunk_selection.h"
#include "citronseam/version/chunk_store.h"
#include "citronseam/version/link_pacer.h"
#include "citronseam/version/permit.h"
#include "citronseam/version/sha256.h"
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

TEST(manifest, sizes_that_do_not_add_up_are_refused) {
    manifest list = make_manifest("name", std::string(1000, 'w'), 300);
    list.total_size = 999;
    const std::string text = to_json(list);
    EXPECT_FALSE(parse_manifest(text, sha256_hex(text)).has_value());
}

TEST(chunk_store, keeps_within_its_memory_and_shares_chunks_between_versions) {
    chunk_store store;
    store.limit = 10;
    EXPECT_TRUE(add_chunk(store, "a", std::make_shared<const std::string>("12345")));
    EXPECT_TRUE(add_chunk(store, "a", std::make_shared<const std::string>("12345")));
    EXPECT_EQ(store.used, 5U);
    EXPECT_FALSE(add_chunk(store, "b", std::make_shared<const std::string>("123456")));
    manifest next;
    next.chunks = {{"a", 5}, {"c", 5}};
    keep_only(store, {&next});
    EXPECT_EQ(count_held(store, next), 1U);
    next.chunks = {{"c", 5}};
    keep_only(store, {&next});
    EXPECT_EQ(store.used, 0U);
}

TEST(chunk_plan, exactly_one_agent_of_a_region_brings_a_chunk_in) {
    const auto members = members_of("r", 20);
    std::map<std::string, int> drawn;
    for (std::size_t chunk = 0; chunk < 400; ++chunk) {
        std::set<std::uint32_t> ranks;
        for (const auto& member : members) {
            const auto rank = draw_rank("version", chunk, member.instance, "r", members);
            ranks.insert(rank);
            drawn[member.instance] += rank == 0 ? 1 : 0;
        }
        EXPECT_EQ(ranks.size(), members.size()) << "every rank stands once";
    }
    for (const auto& [instance, count] : drawn) {
        EXPECT_GT(count, 5) << instance << " has too small a share of 400 / 20";
    }
}

TEST(chunk_plan, neighbours_are_bounded_and_reach_into_the_origin_region) {
    auto members = members_of("far", 100);
    const auto near_origin = members_of("origin", 100);
    members.insert(members.end(), near_origin.begin(), near_origin.end());
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
    EXPECT_EQ(senders.size(), senders_per_link) << "all agents of a region know the same senders";
    for (const auto& member : choose_neighbours("origin-3", "origin", "origin", members)) {
        EXPECT_EQ(member.region, "origin");
    }
}

/// The graph of neighbours must be connected, or a chunk would not reach every agent.
TEST(chunk_plan, neighbours_join_all_agents_of_a_region) {
    for (const int count : {2, 8, 64, 200}) {
        const auto members = members_of("r", count);
        std::map<std::string, std::set<std::string>> links;
        for (const auto& member : members) {
            for (const auto& other : choose_neighbours(member.instance, "r", "r", members)) {
                links[member.instance].insert(other.instance);
                links[other.instance].insert(member.instance);
            }
        }
        std::set<std::string> reached{members.front().instance};
        std::vector<std::string> open{members.front().instance};
        while (!open.empty()) {
            const std::string next = open.back();
            open.pop_back();
            for (const auto& other : links[next]) {
                if (reached.insert(other).second) {
                    open.push_back(other);
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

TEST(chunk_plan, an_agent_that_just_started_draws_once_it_knows_the_others) {
    constexpr milliseconds settling(500);
    EXPECT_FALSE(is_membership_settled(milliseconds(20), milliseconds(20), settling));
    EXPECT_FALSE(is_membership_settled(milliseconds(900), milliseconds(400), settling));
    EXPECT_TRUE(is_membership_settled(milliseconds(1000), milliseconds(500), settling));
    EXPECT_TRUE(is_membership_settled(milliseconds(2000), milliseconds(0), settling))
        << "members come and go later too";
    EXPECT_TRUE(is_membership_settled(milliseconds(0), milliseconds(0), milliseconds(0)));
}

TEST(chunk_plan, a_region_that_was_just_cut_off_does_not_draw_everything_itself) {
    // Its agents see only one another, but the origin's region has most chunks already.
    const std::vector<swarm_member> cut_off{{"b1", "", "b"}, {"b2", "", "b"}};
    const milliseconds patience(1000);
    EXPECT_FALSE(is_origin_near("b", "a", cut_off, milliseconds(900), patience));
    EXPECT_TRUE(is_origin_near("b", "a", cut_off, milliseconds(2000), patience))
        << "the origin's region is gone for good";
    EXPECT_TRUE(is_origin_near("b", "a", cut_off, std::nullopt, patience)) << "it never had any";
    EXPECT_TRUE(is_origin_near("a", "a", {}, milliseconds(0), patience));
    const std::vector<swarm_member> joined{{"a1", "", "a"}, {"b1", "", "b"}};
    EXPECT_FALSE(is_origin_near("b", "a", joined, std::nullopt, patience));
}

TEST(chunk_plan, each_chunk_has_one_drawer_over_all_regions) {
    constexpr int count = 9;
    std::vector<swarm_member> members;
    members.reserve(count);
    for (int i = 0; i < count; ++i) {
        members.push_back({"s" + std::to_string(i), "", "r" + std::to_string(i % 3), true});
    }
    constexpr std::size_t chunks = 64;
    std::vector<std::set<std::uint32_t>> ranks(chunks);
    for (const auto& member : members) {
        const auto own = origin_ranks("m:2", chunks, member.instance, members);
        for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
            ranks[chunk].insert(own[chunk]);
        }
        // The pattern: with the drawer left to chance one of 20 had 12 of 64 chunks to draw, and
        // all others waited for its last.
        EXPECT_LE(std::count(own.begin(), own.end(), 0U), 8) << member.instance;
    }
    for (const auto& of_chunk : ranks) {
        EXPECT_EQ(of_chunk.size(), members.size());
    }
}

// The pattern: the first rank for a chunk has no neighbour in the other region that holds it.
TEST(chunk_plan, the_next_rank_brings_a_chunk_in_soon) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.neighbours[0].held = {true};
    state.neighbours[0].is_same_region = false;
    state.ranks = {2};
    state.origin_ranks = {5};
    state.far_for = {import_patience};
    EXPECT_FALSE(choose_fetch(state, random).has_value()) << "the turn of the first two ranks";
    state.far_for = {import_patience * 2};
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

// The pattern: after a loss of power all sidecars ask the one that still has the pieces. Every
// neighbour was late three times, none had news, and nothing was asked for any more.
TEST(chunk_plan, a_neighbour_that_was_late_is_asked_again_after_a_while) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.neighbours[0].held = {true};
    state.neighbours[0].late = most_late;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    forgive_late(state.neighbours[0], milliseconds(899), milliseconds(900));
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    forgive_late(state.neighbours[0], milliseconds(900), milliseconds(900));
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

// The pattern: after a loss of power one sidecar still has all pieces, and 14 others ask it for
// four each. Its answers then take two seconds, and all of them are given up on and asked for
// again.
TEST(chunk_plan, the_only_holder_is_asked_for_as_much_as_it_answers_in_time) {
    random_source random(seed);
    fetch_state state = state_of(8, 1);
    state.neighbours[0].held.assign(8, true);
    state.origin_ranks = {0, 1, 2, 3, 4, 5, 6, 7};
    state.far_for.assign(8, milliseconds(0));
    state.neighbours[0].requested = 2;
    const auto drawn = choose_fetch(state, random);
    ASSERT_TRUE(drawn.has_value()) << "its own chunk comes from the origin meanwhile";
    EXPECT_EQ(drawn->chunk, 0U);
    EXPECT_FALSE(drawn->neighbour.has_value());
    state.wanted[0] = false;
    EXPECT_FALSE(choose_fetch(state, random).has_value()) << "how fast it answers is not known yet";
    state.neighbours[0].answer_ms = 130;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
    state.neighbours[0].answer_ms = 900;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    state.neighbours[0].requested = 0;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

TEST(chunk_plan, no_more_is_asked_for_than_the_link_bears) {
    random_source random(seed);
    fetch_state state = state_of(4, 1);
    state.neighbours[0].held.assign(4, true);
    state.most_requests = 3;
    state.neighbours[0].answer_ms = 60;
    state.neighbours[0].requested = 2;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
    state.origin_requests = 1;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
}

TEST(chunk_plan, a_quick_neighbour_is_asked_before_a_slow_one) {
    random_source random(seed);
    fetch_state state = state_of(1, 2);
    state.neighbours[0].held = {true};
    state.neighbours[1].held = {true};
    state.neighbours[0].answer_ms = 400;
    state.neighbours[1].answer_ms = 60;
    state.neighbours[1].requested = 2;
    EXPECT_EQ(choose_fetch(state, random)->neighbour, std::optional<std::size_t>(1));
}

TEST(chunk_plan, fetches_the_rarest_chunk_first) {
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

TEST(chunk_plan, draws_only_what_is_its_own_until_progress_stalls) {
    random_source random(seed);
    fetch_state state = state_of(2, 0);
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    state.level = draw_level(milliseconds(2500), milliseconds(2000));
    EXPECT_TRUE(choose_fetch(state, random).has_value()) << "the next rank steps in";
    state.origin_requests = state.origin_parallel;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
}

TEST(chunk_plan, a_region_link_is_crossed_by_the_importer_alone) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.is_origin_near = false;
    state.neighbours[0].is_same_region = false;
    state.neighbours[0].held = {true};
    EXPECT_FALSE(choose_fetch(state, random).has_value());
    state.ranks[0] = 0;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
}

TEST(chunk_plan, senders_to_a_region_share_its_chunks_evenly) {
    constexpr std::size_t chunks = 128;
    random_source random(seed);
    fetch_state state = state_of(chunks, senders_per_link);
    state.is_origin_near = false;
    state.ranks.assign(chunks, 0);
    state.senders = senders_per_link;
    for (std::size_t i = 0; i < senders_per_link; ++i) {
        state.neighbours[i].is_same_region = false;
        state.neighbours[i].sender = i;
        state.neighbours[i].held.assign(chunks, true);
    }
    std::vector<std::size_t> sent(senders_per_link);
    // Each importer fetches one chunk and knows nothing of the others.
    for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
        state.wanted.assign(chunks, false);
        state.wanted[chunk] = true;
        ++sent[*choose_fetch(state, random)->neighbour];
    }
    EXPECT_EQ(sent, std::vector<std::size_t>(senders_per_link, chunks / senders_per_link));
}

TEST(chunk_plan, another_sender_steps_in_for_one_that_is_late) {
    random_source random(seed);
    fetch_state state = state_of(1, 2);
    state.is_origin_near = false;
    state.ranks[0] = 0;
    state.senders = 2;
    for (std::size_t i = 0; i < 2; ++i) {
        state.neighbours[i].is_same_region = false;
        state.neighbours[i].sender = i;
    }
    state.neighbours[1].held = {true};
    EXPECT_FALSE(choose_fetch(state, random).has_value()) << "it is the first sender's chunk";
    state.neighbours[0].late = most_late;
    EXPECT_TRUE(choose_fetch(state, random).has_value());
    state.neighbours[0].late = 0;
    state.neighbours[0].sender.reset();
    EXPECT_TRUE(choose_fetch(state, random).has_value()) << "nobody is in its place";
}

TEST(chunk_plan, a_neighbour_that_sends_wrong_chunks_is_asked_no_more) {
    random_source random(seed);
    fetch_state state = state_of(1, 1);
    state.neighbours[0].held = {true};
    state.neighbours[0].faults = most_faults;
    EXPECT_FALSE(choose_fetch(state, random).has_value());
}

TEST(token_bucket, keeps_its_rate_over_any_pieces) {
    time_point now{};
    token_bucket bucket = make_bucket(1000, 100, now);
    std::uint64_t sent = 0;
    while (now < time_point{} + seconds(10)) {
        if (wait_time(bucket, now).count() == 0) {
            take(bucket, 37, now);
            sent += 37;
        }
        now += milliseconds(1);
    }
    EXPECT_LE(sent, 1000U * 10 + 100 + 37);
    EXPECT_GE(sent, 1000U * 10 * 98 / 100);
}

TEST(permit, a_holder_stops_before_others_may_take_over) {
    const permit_record record{"agent-a", "mine", 100000};
    EXPECT_TRUE(may_act(record, "mine", 90000));
    EXPECT_FALSE(may_act(record, "mine", 98500));
    EXPECT_FALSE(may_act(record, "other", 90000));
    for (std::uint64_t now = 90000; now < 110000; now += 100) {
        EXPECT_FALSE(may_act(record, "mine", now) && is_permit_free(record, now)) << now;
    }
    EXPECT_FALSE(is_permit_free(record, 101000));
    EXPECT_TRUE(is_permit_free(record, 102001));
}

TEST(permit, a_rollout_never_takes_the_last_warm_engine) {
    for (std::size_t members = 2; members < 600; ++members) {
        EXPECT_LT(service_slots(members), members);
    }
    EXPECT_EQ(service_slots(1), 1U);
}

TEST(held_chunks, survive_the_way_there_and_a_short_message) {
    std::vector<bool> held(19);
    held[0] = held[8] = held[18] = true;
    EXPECT_EQ(unpack_held(pack_held(held), held.size()), held);
    held[18] = false;
    EXPECT_EQ(unpack_held(pack_held(held).substr(0, 2), held.size()), held);
}

TEST(link_pacer, regions_do_not_wait_for_each_other) {
    link_pacer pacer;
    set_rates(pacer, {0, 1000, 0}, time_point{});
    EXPECT_EQ(take_turn(pacer, "b", false, 2000, time_point{}).count(), 0);
    EXPECT_GT(take_turn(pacer, "b", false, 2000, time_point{}).count(), 0);
    EXPECT_EQ(take_turn(pacer, "c", false, 2000, time_point{}).count(), 0);
    EXPECT_EQ(take_turn(pacer, "a", true, 2000, time_point{}).count(), 0) << "not paced";
}

} // namespace
