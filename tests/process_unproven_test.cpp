// Answers of backend servers whose end or whose request is not stated, through entry and agent.
#include <atomic>
#include <memory>

#include <gtest/gtest.h>

#include "support/raw_server.h"
#include "support/requests.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr const char* refusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Engine-Overloaded: 1\r\nContent-Length: 0\r\n\r\n";
constexpr milliseconds late_delay{100};

std::string answer_with_length(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An entry and an agent whose plain backend server answers with given bytes.
class unproven_answers : public ::testing::Test {
protected:
    void start(const raw_answer& answer) {
        start_with([answer](const std::string&) { return answer; });
    }

    void start_with(std::function<raw_answer(const std::string&)> answer) {
        desk = std::make_unique<raw_server>(std::move(answer));
        deployment_plan plan = small_deployment_plan();
        plan.entry_zones = {"zone-a"};
        plan.backend_servers = {{"agent-d", "desk", "zone-a", false, {}, desk->address()}};
        system = std::make_unique<deployment>(plan);
        system->start();
    }

    /// @return the answer; on the first connection, where a late one is due, the server is silent
    raw_answer on_free_connection(const std::string& answer) const {
        const bool is_free = desk->connection_count() > 1;
        return {is_free ? answer : "", raw_ending::keep, {}, {}};
    }

    http_response look() { return system->call(0, "POST", "/services/desk/lookups", "berth 7"); }

    std::unique_ptr<raw_server> desk;
    std::unique_ptr<deployment> system;
};

// Guards against MIXED: a late second copy of an earlier answer is taken for the next request's.
TEST_F(unproven_answers, late_second_answer_is_not_the_next_requests) {
    auto count = std::make_shared<int>(0);
    start_with([this, count](const std::string&) {
        const std::string answer = answer_with_length("answer " + std::to_string(++*count));
        if (*count == 1) {
            return raw_answer{answer, raw_ending::keep, answer, late_delay};
        }
        return on_free_connection(answer);
    });
    EXPECT_EQ(look().body, "answer 1");
    EXPECT_EQ(look().body, "answer 2");
}

// Guards against a refusal that is repeated late and is taken for the next request's: it would
// promise that a request has not run that runs.
TEST_F(unproven_answers, late_second_refusal_is_not_the_next_requests) {
    auto runs = std::make_shared<std::atomic<int>>(0);
    start_with([this, runs](const std::string&) {
        if (desk->request_count() == 1) {
            return raw_answer{refusal, raw_ending::keep, refusal, late_delay};
        }
        ++*runs;
        return on_free_connection(answer_with_length("booked"));
    });
    look();
    EXPECT_EQ(look().body, "booked");
    EXPECT_LE(*runs, 2) << "a request ran again since it counted as refused";
    EXPECT_EQ(desk->request_count(), *runs + 1);
}

// Guards against a request on a connection that carries what is left of an earlier answer.
TEST_F(unproven_answers, each_request_has_a_connection_of_its_own) {
    start({answer_with_length("booked"), raw_ending::keep, {}, {}});
    for (int request = 0; request < 3; ++request) {
        EXPECT_EQ(look().body, "booked");
    }
    EXPECT_EQ(desk->connection_count(), 3);
}

} // namespace
