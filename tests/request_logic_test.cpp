// Decision logic of a request: verdicts, admission, balancing, queueing, retries, quarantine, keys.
#include <gtest/gtest.h>

#include "citronseam/process/random.h"
#include "citronseam/request/admission.h"
#include "citronseam/request/balancer.h"
#include "citronseam/request/fair_queue.h"
#include "citronseam/request/idempotency_record.h"
#include "citronseam/request/prefix_table.h"
#include "citronseam/request/quarantine.h"
#include "citronseam/request/response_digest.h"
#include "citronseam/request/retry_budget.h"
#include "citronseam/request/verdict.h"

namespace {

using namespace citronseam;

constexpr std::uint64_t seed = 20261203;

TEST(verdict, only_not_run_is_retried_when_a_request_may_not_be_repeated) {
    const attempt_outcome not_run{run_verdict::not_run, refusal::leaving, "", milliseconds(0)};
    const attempt_outcome unclear{run_verdict::may_have_run, refusal::backend_lost, "",
                                  milliseconds(0)};
    EXPECT_TRUE(may_retry(not_run, false, false));
    EXPECT_FALSE(may_retry(unclear, false, false));
    EXPECT_TRUE(may_retry(unclear, true, false));
    EXPECT_FALSE(may_retry(unclear, true, true)) << "a part of an answer went out already";
}

TEST(verdict, what_may_have_run_is_never_taken_back) {
    EXPECT_EQ(combine(run_verdict::may_have_run, run_verdict::not_run), run_verdict::may_have_run);
    EXPECT_EQ(combine(run_verdict::may_have_run, run_verdict::ran), run_verdict::ran);
    EXPECT_EQ(combine(run_verdict::not_run, run_verdict::may_have_run), run_verdict::may_have_run);
}

TEST(verdict, a_final_refusal_is_not_tried_elsewhere) {
    for (const refusal reason : {refusal::deadline, refusal::key_in_progress, refusal::key_mismatch,
                                 refusal::quarantined, refusal::cancelled}) {
        EXPECT_FALSE(may_retry({run_verdict::not_run, reason, "", milliseconds(0)}, true, false))
            << name(reason);
    }
}

TEST(admission, a_cold_server_gets_no_more_than_it_bears_until_answers_come) {
    admission_state state = cold_admission({2, 8});
    EXPECT_TRUE(is_admissible(state, false));
    const auto first = admit(state, false);
    admit(state, false);
    EXPECT_FALSE(is_admissible(state, false));
    finish(state, first, milliseconds(20));
    EXPECT_EQ(state.limit, 3U);
}

TEST(admission, grows_to_its_bound_and_drops_at_once_on_a_cold_sign) {
    admission_state state = cold_admission({1, 8});
    for (int i = 0; i < 20; ++i) {
        finish(state, admit(state, false), milliseconds(20));
    }
    EXPECT_EQ(state.limit, 8U);
    const auto before = admit(state, false);
    turn_cold(state);
    EXPECT_EQ(state.limit, 1U);
    finish(state, before, milliseconds(20));
    EXPECT_EQ(state.limit, 1U) << "an answer from before the sign is no evidence of warmth";
}

TEST(admission, an_answer_far_slower_than_usual_is_a_cold_sign) {
    admission_state state = cold_admission({1, 8});
    for (int i = 0; i < 10; ++i) {
        finish(state, admit(state, false), milliseconds(60));
    }
    EXPECT_TRUE(finish(state, admit(state, false), milliseconds(900)));
    EXPECT_EQ(state.limit, 1U);
}

TEST(admission, a_suspected_request_runs_alone) {
    admission_state state = cold_admission({4, 8});
    const auto other = admit(state, false);
    EXPECT_FALSE(is_admissible(state, true));
    release(state, other);
    const auto alone = admit(state, true);
    EXPECT_FALSE(is_admissible(state, false));
    release(state, alone);
    EXPECT_TRUE(is_admissible(state, false));
}

struct pool_fixture {
    std::vector<std::unique_ptr<backend_server_load>> loads;
    service_pool pool;

    explicit pool_fixture(std::size_t own, std::size_t other, std::uint32_t limit) {
        for (std::size_t i = 0; i < own + other; ++i) {
            loads.push_back(std::make_unique<backend_server_load>());
            loads.back()->limit = limit;
            loads.back()->is_accepting = true;
            (i < own ? pool.own_zone : pool.other_zones).push_back(loads.back().get());
        }
    }
};

TEST(balancer, keeps_to_its_own_zone_while_it_has_room) {
    pool_fixture servers(2, 2, 1);
    random_source random(seed);
    for (int i = 0; i < 2; ++i) {
        auto* chosen = choose_backend_server(servers.pool, {}, {}, random);
        ASSERT_NE(chosen, nullptr);
        EXPECT_TRUE(chosen == servers.loads[0].get() || chosen == servers.loads[1].get());
        ++chosen->outstanding;
    }
    auto* third = choose_backend_server(servers.pool, {}, {}, random);
    EXPECT_TRUE(third == servers.loads[2].get() || third == servers.loads[3].get());
}

TEST(balancer, gives_nothing_to_servers_that_are_full_excluded_or_not_accepting) {
    pool_fixture servers(3, 0, 1);
    random_source random(seed);
    servers.loads[0]->is_accepting = false;
    servers.loads[1]->outstanding = 1;
    const auto* last = servers.loads[2].get();
    EXPECT_EQ(choose_backend_server(servers.pool, {}, {}, random), last);
    EXPECT_EQ(choose_backend_server(servers.pool, {}, {last}, random), nullptr);
}

TEST(balancer, two_choices_spread_better_than_one) {
    pool_fixture servers(50, 0, 1000);
    random_source random(seed);
    for (int i = 0; i < 5000; ++i) {
        ++choose_backend_server(servers.pool, {}, {}, random)->outstanding;
    }
    std::uint32_t most = 0;
    for (const auto& load : servers.loads) {
        most = std::max(most, load->outstanding.load());
    }
    // The mean is 100. Two choices keep the largest within a few of it; one choice would reach
    // about 125.
    EXPECT_LE(most, 108U);
}

TEST(balancer, affinity_is_bounded_by_load) {
    pool_fixture servers(4, 0, 100);
    random_source random(seed);
    auto* preferred = servers.loads[0].get();
    preferred->outstanding = 2;
    EXPECT_EQ(choose_backend_server(servers.pool, {preferred, true}, {}, random), preferred);
    preferred->outstanding = 50;
    EXPECT_NE(choose_backend_server(servers.pool, {preferred, true}, {}, random), preferred);
}

TEST(balancer, work_of_other_entries_counts) {
    backend_server_load load;
    load.is_accepting = true;
    load.limit = 10;
    load.outstanding = 2;
    load.heard_own = 2;
    load.running = 9;
    EXPECT_EQ(free_places(load), 1U);
}

queued_request waiting(std::uint64_t id, const std::string& workspace,
                       request_priority priority = request_priority::normal) {
    queued_request request;
    request.id = id;
    request.workspace = workspace;
    request.priority = priority;
    request.workspace_limit = 1000;
    request.deadline = time_point{} + seconds(10);
    return request;
}

TEST(balancer, affinity_does_not_draw_a_request_out_of_its_zone) {
    random_source random(seed);
    pool_fixture servers(2, 2, 4);
    backend_server_load* far = servers.loads[3].get();
    EXPECT_NE(choose_backend_server(servers.pool, {far, false}, {}, random), far);
    for (std::size_t i = 0; i < 2; ++i) {
        servers.loads[i]->outstanding = servers.loads[i]->limit.load();
    }
    EXPECT_EQ(choose_backend_server(servers.pool, {far, false}, {}, random), far)
        << "its own zone has no room";
}

TEST(fair_queue, a_large_workspace_cannot_starve_a_small_one) {
    fair_queue queue;
    for (std::uint64_t i = 0; i < 200; ++i) {
        push(queue, waiting(i, "large"));
    }
    push(queue, waiting(1000, "small"));
    push(queue, waiting(1001, "small"));
    std::vector<std::uint64_t> first;
    first.reserve(4);
    for (int i = 0; i < 4; ++i) {
        first.push_back(pop(queue)->id);
    }
    EXPECT_EQ(std::count_if(first.begin(), first.end(), [](auto id) { return id >= 1000; }), 2);
}

TEST(fair_queue, one_request_at_a_time_does_not_jump_the_queue) {
    fair_queue queue;
    for (std::uint64_t i = 0; i < 10; ++i) {
        push(queue, waiting(i, "waiting"));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 10; ++i) {
        push(queue, waiting(100 + static_cast<std::uint64_t>(i), "again"));
        const auto next = pop(queue);
        ++served[next->workspace];
    }
    EXPECT_EQ(served["waiting"], 5);
}

TEST(fair_queue, weight_and_priority_order_requests) {
    fair_queue queue;
    for (std::uint64_t i = 0; i < 8; ++i) {
        auto heavy = waiting(i, "heavy");
        heavy.weight = 3;
        push(queue, heavy);
        push(queue, waiting(100 + i, "light"));
    }
    auto urgent = waiting(50, "heavy", request_priority::high);
    urgent.weight = 3;
    push(queue, urgent);
    EXPECT_EQ(pop(queue)->id, 50U);
    std::map<std::string, int> served{{"heavy", 1}};
    for (int i = 0; i < 7; ++i) {
        ++served[pop(queue)->workspace];
    }
    EXPECT_EQ(served["heavy"], 6);
}

TEST(fair_queue, a_full_queue_makes_room_for_the_workspace_that_waits_for_less) {
    fair_queue queue;
    queue.limit = 3;
    for (std::uint64_t i = 0; i < 3; ++i) {
        EXPECT_TRUE(push(queue, waiting(i, "large")).is_queued);
    }
    EXPECT_FALSE(push(queue, waiting(9, "large")).is_queued);
    const auto outcome = push(queue, waiting(10, "small"));
    EXPECT_TRUE(outcome.is_queued);
    ASSERT_TRUE(outcome.evicted.has_value());
    EXPECT_EQ(outcome.evicted->id, 2U);
    EXPECT_EQ(queue.size, 3U);
}

TEST(fair_queue, expired_and_withdrawn_requests_leave) {
    fair_queue queue;
    push(queue, waiting(1, "a"));
    auto late = waiting(2, "a");
    late.deadline = time_point{} + seconds(1);
    push(queue, late);
    EXPECT_EQ(take_expired(queue, time_point{} + seconds(2)).size(), 1U);
    EXPECT_TRUE(remove(queue, "a", 1));
    EXPECT_FALSE(remove(queue, "a", 1));
    EXPECT_FALSE(pop(queue).has_value());
}

TEST(retry_budget, retries_stay_a_share_of_requests) {
    retry_budget budget = make_retry_budget(10);
    int spent = 0;
    for (int i = 0; i < 1000; ++i) {
        earn(budget);
        spent += spend(budget) ? 1 : 0;
    }
    EXPECT_LE(spent, 1000 / 10 + 10);
    EXPECT_GE(spent, 1000 / 10);
}

TEST(retry_budget, zero_percent_allows_none) {
    retry_budget budget = make_retry_budget(0);
    earn(budget);
    EXPECT_FALSE(spend(budget));
}

TEST(retry_after, refused_callers_do_not_come_back_together) {
    random_source random(seed);
    std::set<std::int64_t> times;
    for (int i = 0; i < 100; ++i) {
        const milliseconds wait = retry_after(milliseconds(1000), random);
        EXPECT_GE(wait.count(), 1000);
        EXPECT_LE(wait.count(), 2000);
        times.insert(wait.count());
    }
    EXPECT_GE(times.size(), 80U);
}

TEST(quarantine, two_lost_servers_refuse_a_request_until_the_record_expires) {
    quarantine state;
    const time_point start = time_point{} + seconds(100);
    EXPECT_TRUE(note_loss(state, 7, {"a", 1}, start));
    EXPECT_FALSE(note_loss(state, 7, {"a", 1}, start)) << "the same loss counts once";
    EXPECT_EQ(standing_of(state, 7, start), crash_standing::suspected);
    EXPECT_TRUE(note_loss(state, 7, {"b", 1}, start));
    EXPECT_EQ(standing_of(state, 7, start), crash_standing::refused);
    EXPECT_EQ(standing_of(state, 8, start), crash_standing::clear);
    EXPECT_EQ(standing_of(state, 7, start + state.lifetime), crash_standing::clear);
}

TEST(quarantine, an_operator_releases_a_fingerprint) {
    quarantine state;
    note_loss(state, 7, {"a", 1}, time_point{});
    note_loss(state, 7, {"a", 2}, time_point{});
    EXPECT_EQ(standing_of(state, 7, time_point{}), crash_standing::refused);
    EXPECT_TRUE(release_fingerprint(state, 7));
    EXPECT_EQ(standing_of(state, 7, time_point{}), crash_standing::clear);
}

TEST(key_record, survives_its_text_form) {
    key_record record;
    record.state = key_state::finished;
    record.attempt = "attempt";
    record.fingerprint = ~0ULL;
    record.answer = {201, {{"Content-Type", "text/plain"}}, "berth \"7\"\n"};
    const auto read = parse_key_record(to_json(record));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->state, key_state::finished);
    EXPECT_EQ(read->fingerprint, ~0ULL);
    EXPECT_EQ(read->answer.body, record.answer.body);
    EXPECT_EQ(read->answer.headers, record.answer.headers);
    EXPECT_FALSE(parse_key_record("{\"state\":\"started\"}").has_value());
}

TEST(key_record, one_attempt_runs_and_all_others_learn_how_it_stands) {
    key_record record;
    record.attempt = "mine";
    record.fingerprint = 5;
    EXPECT_EQ(decide_on_key(record, "mine", 5), key_decision::run);
    EXPECT_EQ(decide_on_key(record, "other", 5), key_decision::in_progress);
    EXPECT_EQ(decide_on_key(record, "other", 6), key_decision::mismatch);
    record.state = key_state::finished;
    EXPECT_EQ(decide_on_key(record, "other", 5), key_decision::replay);
    record.state = key_state::settled;
    EXPECT_EQ(decide_on_key(record, "other", 5), key_decision::settled);
}

TEST(key_record, a_row_is_kept_until_its_time_is_over) {
    key_record record;
    record.expires_at_ms = 1000;
    EXPECT_FALSE(is_key_expired(record, 1000));
    EXPECT_TRUE(is_key_expired(record, 1001));
}

TEST(key_record, rows_of_different_callers_do_not_collide) {
    EXPECT_NE(key_row_name("a", "bc", "k"), key_row_name("ab", "c", "k"));
    EXPECT_NE(key_row_name("a", "b", "k"), key_row_name("a", "b", "l"));
}

TEST(answer_check, finds_missing_repeated_and_crossed_parts) {
    answer_check sent;
    append(sent, "one");
    append(sent, "two");
    answer_check received;
    EXPECT_TRUE(is_next_part(received, 0));
    append(received, "one");
    EXPECT_FALSE(is_next_part(received, 6));
    EXPECT_FALSE(is_whole(received, sent));
    append(received, "tow");
    EXPECT_FALSE(is_whole(received, sent)) << "same length, other content";
}

TEST(prefix_table, a_late_eviction_does_not_undo_a_later_use) {
    prefix_table table;
    const time_point start{};
    note_answered(table, 7, 1, start);
    note_evicted(table, 7, 1, start + table.event_lag / 2);
    EXPECT_EQ(holder_of(table, 7), 1U) << "it may have happened before the use";
    note_evicted(table, 7, 2, start + 2 * table.event_lag);
    EXPECT_EQ(holder_of(table, 7), 1U) << "another server lost it";
    note_evicted(table, 7, 1, start + 2 * table.event_lag);
    EXPECT_EQ(holder_of(table, 7), std::nullopt);
}

TEST(prefix_table, an_event_does_not_replace_what_is_known_first_hand) {
    prefix_table table;
    note_answered(table, 7, 1, time_point{});
    note_stored(table, 7, 2, time_point{});
    EXPECT_EQ(holder_of(table, 7), 1U);
    forget_server(table, 1);
    note_stored(table, 7, 2, time_point{});
    EXPECT_EQ(holder_of(table, 7), 2U);
}

TEST(prefix_table, it_stays_bounded_and_keeps_the_newest) {
    prefix_table table;
    table.generation_limit = 10;
    for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix) {
        note_answered(table, prefix, 1, time_point{});
    }
    EXPECT_LE(table.recent.size() + table.previous.size(), 20U);
    EXPECT_EQ(holder_of(table, 1000), 1U);
    EXPECT_EQ(holder_of(table, 1), std::nullopt);
}

TEST(event_sequence, it_counts_gaps_and_drops_repetitions) {
    event_sequence sequence;
    EXPECT_EQ(take_event_number(sequence, 1), 0U);
    EXPECT_EQ(take_event_number(sequence, 4), 2U);
    EXPECT_EQ(take_event_number(sequence, 4), std::nullopt);
    EXPECT_EQ(take_event_number(sequence, 2), std::nullopt);
}

} // namespace
