// Lists of digests that are well-formed and wrong: from the origin once or several times, from a
// sidecar that got one, and beside pieces of another version in the staging area.
#include <algorithm>
#include <atomic>
#include <chrono>

#include <gtest/gtest.h>

#include "citronseam/version/sha256.h"
#include "support/platform_world.h"
#include "support/standin_http.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;
using nlohmann::json;

constexpr milliseconds weights_due{2000};
constexpr milliseconds load_timeout{10000};
constexpr milliseconds line_timeout{5000};
/// From the return of the origin until all sidecars have the weights: 0.2 s until the next request
/// for the list, and the fetch.
constexpr milliseconds origin_return_time{800};
/// From its start, until a sidecar knows the others and fetches newer weights without delay.
constexpr milliseconds settling_time{1200};

std::string digest_of(std::uint64_t version, std::size_t piece) {
    return sha256_hex(weight_origin::piece(version, piece));
}

json digests_of(std::uint64_t version) {
    json digests = json::array();
    for (std::size_t i = 0; i < weight_origin::piece_count; ++i) {
        digests.push_back(digest_of(version, i));
    }
    return digests;
}

std::uint64_t older_version(const json& list) {
    return list["version"].get<std::uint64_t>() - 1;
}

/// Makes the list of a version wrong.
struct wrong_list {
    const char* name;
    void (*edit)(json& list);
};

void change_digit(json& digest) {
    std::string text = digest;
    text.front() = text.front() == '0' ? '1' : '0';
    digest = text;
}

void capitalize(json& digest) {
    std::string text = digest;
    std::transform(text.begin(), text.end(), text.begin(), ::toupper);
    digest = text;
}

const std::vector<wrong_list> wrong_lists{
    {"shorter", [](json& list) { list["digests"].erase(weight_origin::piece_count - 1); }},
    {"longer", [](json& list) { list["digests"].push_back(digest_of(1, 1000)); }},
    {"shifted",
     [](json& list) {
         list["digests"].erase(0);
         list["digests"].push_back(digest_of(1, 1000));
     }},
    {"repeated", [](json& list) { list["digests"][3] = list["digests"][2]; }},
    {"exchanged", [](json& list) { std::swap(list["digests"][3], list["digests"][4]); }},
    {"older_version", [](json& list) { list["digests"] = digests_of(older_version(list)); }},
    {"one_of_older_version",
     [](json& list) { list["digests"][3] = digest_of(older_version(list), 3); }},
    {"wrong_digit", [](json& list) { change_digit(list["digests"][3]); }},
    {"all_wrong_digits",
     [](json& list) {
         for (json& digest : list["digests"]) {
             change_digit(digest);
         }
     }},
    {"capitals",
     [](json& list) {
         for (json& digest : list["digests"]) {
             capitalize(digest);
         }
     }},
    {"larger_pieces", [](json& list) { list["chunk_bytes"] = 2 * weight_origin::piece_bytes; }},
    {"smaller_pieces", [](json& list) { list["chunk_bytes"] = weight_origin::piece_bytes / 2; }},
    {"fraction", [](json& list) { list["chunk_bytes"] = weight_origin::piece_bytes + 0.5; }},
};

class piece_list : public ::testing::Test {
protected:
    void SetUp() override {
        for (const auto& engine : world.engines) {
            engine->set_unchecked_loads();
        }
        world.set_weights_due(weights_due);
    }

    void start() {
        ASSERT_TRUE(world.start()) << world.gateway(0).output() << world.gateway(1).output();
        for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
            ASSERT_NE(world.sidecar(i).wait_for_line("event=weights_whole version=1", line_timeout),
                      "")
                << world.sidecar(i).output();
        }
        std::this_thread::sleep_for(settling_time);
        world.origin.pieces_sent = 0;
        world.origin.lists_sent = 0;
    }

    /// Lets the next answers for a version be wrong.
    void spoil_lists(std::uint64_t version, int count, const wrong_list& wrong) {
        world.origin.set_list_editor([=, left = count](std::uint64_t asked, json& list) mutable {
            if (asked == version && left > 0) {
                --left;
                wrong.edit(list);
            }
            return true;
        });
    }

    void expect_loaded(std::uint64_t version) {
        for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
            const platform_server& engine = *world.engines[i];
            EXPECT_TRUE(wait_until([&] { return engine.version() == version; }, load_timeout))
                << engine.id() << world.sidecar(i).output();
            EXPECT_EQ(engine.wrong_load_count(), 0) << engine.id() << world.sidecar(i).output();
        }
    }

    platform_world world;
};

class wrong_piece_list : public piece_list, public ::testing::WithParamInterface<wrong_list> {};

// Guards against WHOLE: an engine that is ordered to load a wrong piece, or that never gets the
// named version, since its sidecar believes one answer of the origin.
TEST_P(wrong_piece_list, does_not_reach_an_engine_and_holds_up_none) {
    start();
    for (const auto& [version, count] : {std::pair{2, 1}, std::pair{3, 5}}) {
        world.origin.pieces_sent = 0;
        spoil_lists(version, count, GetParam());
        world.set_weights_version(version);
        expect_loaded(version);
        // Sidecars that fetch again and again what does not match would draw many copies.
        EXPECT_LE(world.origin.pieces_sent, 3 * static_cast<int>(weight_origin::piece_count));
    }
}

INSTANTIATE_TEST_SUITE_P(kinds, wrong_piece_list, ::testing::ValuesIn(wrong_lists),
                         [](const auto& kind) { return std::string(kind.param.name); });

// Guards against WHOLE: a list that only one sidecar got from the origin is believed by another
// one.
TEST_F(piece_list, of_another_sidecar_is_not_believed_either) {
    start();
    std::atomic<bool> is_answering{true};
    world.origin.set_list_editor([&](std::uint64_t asked, json& list) {
        list["digests"][3] = asked == 2 ? list["digests"][2] : list["digests"][3];
        return is_answering.exchange(false);
    });
    world.set_weights_version(2);
    std::this_thread::sleep_for(milliseconds(2000));
    world.origin.set_list_editor({});
    expect_loaded(2);
}

// Guards against WHOLE: pieces of version 1 in the staging area match a list of version 1 that is
// named 2.
TEST_F(piece_list, does_not_turn_older_staged_pieces_into_newer_ones) {
    start();
    spoil_lists(2, 3, {"older_version", [](json& list) { list["digests"] = digests_of(1); }});
    for (const auto& engine : world.engines) {
        engine->lose_weights();
    }
    world.set_weights_version(2);
    expect_loaded(2);
}

// Guards against WHOLE after a restart of a sidecar and its engine, with a list that matches what
// is still staged of an older version.
TEST_F(piece_list, does_not_match_what_a_restarted_sidecar_finds_staged) {
    start();
    spoil_lists(2, 3, {"older_version", [](json& list) { list["digests"] = digests_of(1); }});
    world.set_weights_version(2);
    world.engines[0]->lose_weights();
    world.restart_sidecar(0);
    expect_loaded(2);
}

// Guards against a copy of the weights that the origin sends again, and a wait for it, although all
// pieces are still staged: the store tells which list they were confirmed by.
TEST_F(piece_list, proven_before_a_restart_of_all_lets_staged_pieces_count) {
    start();
    world.set_weights_version(2);
    expect_loaded(2);
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        world.engines[i]->lose_weights();
        world.restart_sidecar(i);
    }
    world.origin.pieces_sent = 0;
    expect_loaded(2);
    EXPECT_EQ(world.origin.pieces_sent, 0) << world.sidecar(0).output();
}

// Guards against a fetch that never ends: what the origin states is wrong for several seconds, at
// all sidecars.
TEST_F(piece_list, that_is_wrong_for_seconds_delays_the_weights_only_so_long) {
    start();
    spoil_lists(2, 1000, {"wrong_digit", [](json& list) { change_digit(list["digests"][3]); }});
    world.set_weights_version(2);
    std::this_thread::sleep_for(milliseconds(4000));
    EXPECT_LE(world.origin.lists_sent, 20) << "the origin is asked at growing intervals";
    EXPECT_LE(world.origin.pieces_sent, 3 * static_cast<int>(weight_origin::piece_count));
    world.origin.set_list_editor({});
    expect_loaded(2);
}

// Guards against weights that wait for a list although the origin answers again: an origin that
// sends nothing is asked at short intervals.
TEST_F(piece_list, of_an_origin_that_was_down_is_there_soon_after_its_return) {
    start();
    world.origin.is_down = true;
    world.set_weights_version(2);
    std::this_thread::sleep_for(milliseconds(3200));
    world.origin.is_down = false;
    const auto back_at = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < platform_world::zone_count; ++i) {
        EXPECT_NE(world.sidecar(i).wait_for_line("event=weights_whole version=2", line_timeout), "")
            << world.sidecar(i).output();
    }
    EXPECT_LE(std::chrono::steady_clock::now() - back_at, origin_return_time);
}

// Guards against WHOLE where the configuration does not state how many pieces there are.
TEST_F(piece_list, without_a_configured_number_of_pieces_is_stated_twice) {
    world.edit_configuration([](json& configuration) {
        for (json& service : configuration["services"]) {
            if (service.contains("engine")) {
                service["engine"].erase("chunks");
                service["engine"].erase("chunk_bytes");
            }
        }
    });
    start();
    spoil_lists(2, 1, wrong_lists.front());
    world.set_weights_version(2);
    expect_loaded(2);
}

} // namespace
