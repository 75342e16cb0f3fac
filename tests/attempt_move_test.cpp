#include "citronseam/request/attempt_move.h"

#include <gtest/gtest.h>

namespace {

using namespace citronseam;

const time_point start{milliseconds(1000000)};

move_state stream_with_events() {
    move_state state;
    state.is_stream = true;
    state.has_forwarded = true;
    state.last_forwarded_at = start;
    state.max_pause = milliseconds(300);
    return state;
}

// Guards against giving up an attempt before another server has answered.
TEST(attempt_move, second_attempt_goes_on_only_once_it_has_answered) {
    move_state state = stream_with_events();
    EXPECT_EQ(decide_move(state, start), move_decision::undecided);
    state.second = attempt_progress::begun;
    EXPECT_EQ(decide_move(state, start), move_decision::second);
}

// Guards against ending a request whose second server refuses it.
TEST(attempt_move, first_attempt_goes_on_when_the_second_one_fails) {
    move_state state = stream_with_events();
    state.second = attempt_progress::failed;
    EXPECT_EQ(decide_move(state, start), move_decision::first);
    state.first = attempt_progress::begun;
    EXPECT_EQ(decide_move(state, start), move_decision::first);
}

// Guards against a pause in the caller's stream while another server lets it wait.
TEST(attempt_move, events_are_held_no_longer_than_the_longest_pause) {
    move_state state = stream_with_events();
    state.first = attempt_progress::begun;
    EXPECT_EQ(decide_move(state, start + milliseconds(200)), move_decision::undecided);
    EXPECT_EQ(decide_move(state, start + milliseconds(240)), move_decision::first);
}

// Guards against giving up the second server while the first one is silent.
TEST(attempt_move, both_attempts_are_kept_while_neither_answers) {
    move_state state = stream_with_events();
    EXPECT_EQ(decide_move(state, start + milliseconds(5000)), move_decision::undecided);
    state.has_forwarded = false;
    EXPECT_EQ(decide_move(state, start + milliseconds(5000)), move_decision::undecided);
}

TEST(attempt_move, pause_without_a_limit_holds_events_until_a_response_ends) {
    move_state state = stream_with_events();
    state.max_pause = milliseconds(0);
    state.first = attempt_progress::begun;
    EXPECT_EQ(decide_move(state, start + milliseconds(5000)), move_decision::undecided);
    state.first = attempt_progress::complete;
    EXPECT_EQ(decide_move(state, start + milliseconds(5000)), move_decision::first);
}

TEST(attempt_move, first_server_to_answer_is_taken_when_the_caller_has_no_event) {
    move_state state = stream_with_events();
    state.has_forwarded = false;
    state.first = attempt_progress::begun;
    EXPECT_EQ(decide_move(state, start), move_decision::first);
}

TEST(attempt_move, response_that_is_no_stream_counts_once_it_is_complete) {
    move_state state;
    state.first = attempt_progress::begun;
    state.second = attempt_progress::begun;
    EXPECT_EQ(decide_move(state, start), move_decision::undecided);
    state.second = attempt_progress::complete;
    EXPECT_EQ(decide_move(state, start), move_decision::second);
    state.first = attempt_progress::complete;
    EXPECT_EQ(decide_move(state, start), move_decision::first);
}

TEST(attempt_move, second_attempt_goes_on_when_the_first_one_fails) {
    move_state state = stream_with_events();
    state.first = attempt_progress::failed;
    EXPECT_EQ(decide_move(state, start), move_decision::second);
}

} // namespace
