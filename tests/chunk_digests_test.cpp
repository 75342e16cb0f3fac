// Lists of digests that are well-formed and wrong, without network: which digests count, and which
// content counts as which chunk of which version.
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "citronseam/version/chunk_digests.h"
#include "citronseam/version/held_version.h"
#include "citronseam/version/sha256.h"

namespace {

using namespace citronseam;

constexpr std::size_t chunk_count = 6;
constexpr std::size_t chunk_bytes = 16;
constexpr weights_shape shape{chunk_count, chunk_bytes};
/// Answers until a fetch must be complete once they are right: one that states the right digests
/// and one that confirms them.
constexpr int sufficient_answers = 2;

std::string content_of(int version, std::size_t place) {
    std::string content = std::to_string(version) + ":" + std::to_string(place);
    content.resize(chunk_bytes, '.');
    return content;
}

digest_list list_of(int version) {
    digest_list list;
    list.chunk_bytes = chunk_bytes;
    for (std::size_t i = 0; i < chunk_count; ++i) {
        list.digests.push_back(sha256_hex(content_of(version, i)));
    }
    return list;
}

/// A fetch whose bytes are those of version 2, while its lists may be wrong.
class fetch {
public:
    explicit fetch(const weights_shape& configured = shape) {
        known_.configured = configured;
        store_.limit_bytes = 4 * chunk_count * chunk_bytes;
        // As at a sidecar that holds version 1 when version 2 is named.
        known_.configured = configured;
        chunk_digests older;
        older.configured = shape;
        add_list(older, list_of(1));
        held_version first = make_held_version("1", make_manifest(older), store_, nullptr);
        for (std::size_t i = 0; i < chunk_count; ++i) {
            std::string content = content_of(1, i);
            store_chunk(first, store_, i, content);
        }
    }

    list_verdict receive(const digest_list& list) {
        const list_verdict verdict = add_list(known_, list);
        if (known_.places.empty()) {
            return verdict;
        }
        if (version_.name.empty()) {
            version_ = make_held_version("2", make_manifest(known_), store_, nullptr);
        } else {
            amend_list(version_, make_manifest(known_));
        }
        return verdict;
    }

    /// Sends the right content for each missing chunk.
    void request_missing() {
        for (std::size_t i = 0; i < version_.is_held.size(); ++i) {
            std::string content = content_of(2, i);
            if (!version_.is_held[i]) {
                store_chunk(version_, store_, i, content);
            }
        }
    }

    bool has_all() const { return is_complete(version_); }

    /// @return whether each chunk that counts as held is the one of version 2 at its place
    bool is_right() const {
        for (std::size_t i = 0; i < version_.is_held.size(); ++i) {
            const chunk_content content = held_chunk(version_, store_, i);
            if (version_.is_held[i] && (content == nullptr || *content != content_of(2, i))) {
                return false;
            }
        }
        return true;
    }

    const chunk_digests& known() const { return known_; }
    held_version& version() { return version_; }
    chunk_store& store() { return store_; }

private:
    chunk_digests known_;
    chunk_store store_;
    held_version version_;
};

struct wrong_list {
    const char* name;
    void (*edit)(digest_list& list);
};

void change_digit(std::string& digest) {
    digest.front() = digest.front() == '0' ? '1' : '0';
}

const std::vector<wrong_list> wrong_lists{
    {"shorter", [](digest_list& list) { list.digests.pop_back(); }},
    {"longer", [](digest_list& list) { list.digests.push_back(list.digests.front()); }},
    {"shifted",
     [](digest_list& list) {
         std::rotate(list.digests.begin(), list.digests.begin() + 1, list.digests.end());
     }},
    {"repeated", [](digest_list& list) { list.digests[3] = list.digests[2]; }},
    {"exchanged", [](digest_list& list) { std::swap(list.digests[3], list.digests[4]); }},
    {"older_version", [](digest_list& list) { list.digests = list_of(1).digests; }},
    {"one_of_older_version", [](digest_list& list) { list.digests[3] = list_of(1).digests[3]; }},
    {"wrong_digit", [](digest_list& list) { change_digit(list.digests[3]); }},
    {"all_wrong_digits",
     [](digest_list& list) {
         std::for_each(list.digests.begin(), list.digests.end(), change_digit);
     }},
    {"larger_chunks", [](digest_list& list) { list.chunk_bytes *= 2; }},
    {"no_chunk_size", [](digest_list& list) { list.chunk_bytes = 0; }},
    {"no_digests", [](digest_list& list) { list.digests.clear(); }},
    {"cut_digest", [](digest_list& list) { list.digests[3].pop_back(); }},
};

class wrong_digests : public ::testing::TestWithParam<wrong_list> {
protected:
    static digest_list wrong() {
        digest_list list = list_of(2);
        GetParam().edit(list);
        return list;
    }
};

// Guards against WHOLE: weights that count as complete with a chunk of another place or version.
TEST_P(wrong_digests, never_make_a_wrong_chunk_count_and_are_outdone_by_right_ones) {
    for (const int wrong_answers : {1, 2, 7}) {
        fetch fetched;
        for (int i = 0; i < wrong_answers; ++i) {
            fetched.receive(wrong());
            fetched.request_missing();
            EXPECT_TRUE(fetched.is_right()) << wrong_answers;
            EXPECT_FALSE(fetched.has_all()) << wrong_answers;
        }
        for (int i = 0; i < sufficient_answers; ++i) {
            EXPECT_EQ(fetched.receive(list_of(2)), list_verdict::used);
            fetched.request_missing();
            EXPECT_TRUE(fetched.is_right()) << wrong_answers;
        }
        EXPECT_TRUE(fetched.has_all()) << wrong_answers;
    }
}

// Guards against WHOLE: one wrong list after a right one.
TEST_P(wrong_digests, after_a_right_list_change_nothing) {
    fetch fetched;
    fetched.receive(list_of(2));
    fetched.receive(wrong());
    fetched.request_missing();
    EXPECT_TRUE(fetched.is_right());
    fetched.receive(list_of(2));
    fetched.request_missing();
    EXPECT_TRUE(fetched.is_right());
    EXPECT_TRUE(fetched.has_all());
}

INSTANTIATE_TEST_SUITE_P(kinds, wrong_digests, ::testing::ValuesIn(wrong_lists),
                         [](const auto& kind) { return std::string(kind.param.name); });

// Guards against a fetch that never ends since its digests are in capitals.
TEST(digests, in_capitals_are_the_same) {
    fetch fetched;
    digest_list list = list_of(2);
    for (std::string& digest : list.digests) {
        std::transform(digest.begin(), digest.end(), digest.begin(), ::toupper);
    }
    EXPECT_EQ(fetched.receive(list), list_verdict::used);
    fetched.receive(list_of(2));
    EXPECT_EQ(count_disputed(fetched.known()), 0U);
    fetched.request_missing();
    EXPECT_TRUE(fetched.has_all());
}

// Guards against WHOLE: a list that was wrong once, and bytes that are wrong in the same way once.
TEST(digests, that_lists_disagree_on_need_two_statements) {
    fetch fetched;
    fetched.receive(list_of(1));
    fetched.receive(list_of(2));
    EXPECT_EQ(count_disputed(fetched.known()), chunk_count);
    std::string content = content_of(1, 0);
    EXPECT_EQ(store_chunk(fetched.version(), fetched.store(), 0, content), chunk_outcome::mismatch);
    fetched.receive(list_of(2));
    EXPECT_EQ(count_disputed(fetched.known()), 0U);
    EXPECT_EQ(store_chunk(fetched.version(), fetched.store(), 0, content), chunk_outcome::mismatch);
    fetched.request_missing();
    EXPECT_TRUE(fetched.has_all());
}

// Guards against a wrong list that comes back from the sidecar that it was passed on to.
TEST(digests, of_another_process_do_not_confirm_each_other) {
    fetch fetched;
    digest_list echo = list_of(1);
    fetched.receive(echo);
    fetched.receive(list_of(2));
    echo.source = list_source::member;
    fetched.receive(echo);
    fetched.receive(echo);
    EXPECT_EQ(count_disputed(fetched.known()), chunk_count);
}

// Guards against requests to the origin for what another process has confirmed with bytes.
TEST(digests, that_another_process_has_confirmed_count_at_once) {
    fetch fetched;
    fetched.receive(list_of(1));
    digest_list told = list_of(2);
    told.source = list_source::member;
    told.confirmed.assign(chunk_count, true);
    told.confirmed[5] = false;
    fetched.receive(told);
    fetched.request_missing();
    EXPECT_EQ(count_held_chunks(fetched.version()), chunk_count - 1);
    EXPECT_TRUE(fetched.is_right());
}

// Guards against memory that grows with each answer of the origin.
TEST(digests, of_many_different_lists_are_bounded_and_outdone) {
    fetch fetched;
    constexpr int many = 100;
    for (int version = 3; version < many; ++version) {
        fetched.receive(list_of(version));
    }
    for (const auto& stated : fetched.known().places) {
        EXPECT_LE(stated.size(), max_stated_digests);
    }
    fetched.receive(list_of(2));
    fetched.receive(list_of(2));
    fetched.request_missing();
    EXPECT_TRUE(fetched.has_all());
    EXPECT_TRUE(fetched.is_right());
}

// Guards against WHOLE where the configuration states no shape: one short list is no proof of it.
TEST(digests, of_an_unknown_shape_wait_for_a_second_list_of_it) {
    fetch fetched(weights_shape{});
    digest_list shorter = list_of(2);
    shorter.digests.pop_back();
    EXPECT_EQ(fetched.receive(shorter), list_verdict::unproven);
    EXPECT_EQ(fetched.receive(list_of(2)), list_verdict::unproven);
    EXPECT_EQ(fetched.receive(shorter), list_verdict::unproven);
    EXPECT_EQ(fetched.receive(list_of(2)), list_verdict::unproven);
    EXPECT_EQ(fetched.receive(list_of(2)), list_verdict::used);
    fetched.request_missing();
    EXPECT_TRUE(fetched.has_all());
}

// Guards against a chunk that counts at another place, or in another version, than it was sent for.
TEST(held_version, chunk_counts_only_where_it_was_sent_for) {
    chunk_store store;
    store.limit_bytes = 1000;
    manifest list;
    list.is_identified = false;
    const std::string hash = sha256_hex("content");
    list.chunks = {{hash, 7}, {hash, 7}};
    held_version first = make_held_version("1", list, store, nullptr);
    std::string content = "content";
    EXPECT_EQ(store_chunk(first, store, 1, content), chunk_outcome::stored);
    EXPECT_EQ(first.is_held, (std::vector<bool>{false, true}));
    EXPECT_EQ(held_chunk(first, store, 0), nullptr);
    const held_version next = make_held_version("2", list, store, nullptr);
    EXPECT_EQ(count_held_chunks(next), 0U);
    const held_version again = make_held_version("1", list, store, &first);
    EXPECT_EQ(again.is_held, first.is_held);
}

// Guards against chunks that are fetched twice where the list was identified by its own hash.
TEST(held_version, chunk_of_an_identified_list_counts_wherever_it_is_listed) {
    chunk_store store;
    store.limit_bytes = 1000;
    manifest list;
    const std::string hash = sha256_hex("content");
    list.chunks = {{hash, 7}, {hash, 7}};
    held_version first = make_held_version("1", list, store, nullptr);
    std::string content = "content";
    EXPECT_EQ(store_chunk(first, store, 1, content), chunk_outcome::stored);
    EXPECT_TRUE(is_complete(first));
    EXPECT_TRUE(is_complete(make_held_version("2", list, store, nullptr)));
}

} // namespace
