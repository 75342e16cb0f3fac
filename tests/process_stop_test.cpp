// Requests that come while a gateway stops as planned, on a simulated platform.
#include <array>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>
#include <sys/time.h>

#include <gtest/gtest.h>

#include <asio.hpp>

#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;
using asio::ip::tcp;

constexpr milliseconds start_time{5000};
/// Longer than a gateway has from SIGTERM until it is killed.
constexpr seconds patience{12};
/// A gateway has ended what is open when so much of its grace period is left.
constexpr milliseconds grace_margin{1000};
/// Two machines' clocks and threads may differ by as much in a test.
constexpr milliseconds timing_slack{400};
/// A connection may end this long after the last byte of a request that was not passed on.
constexpr milliseconds loss_slack{200};
/// Gateways poll the list of servers more often than this.
constexpr milliseconds listing_time{1500};
/// Longer than any grace period.
constexpr milliseconds endless_work{20000};
constexpr milliseconds long_timeout{20000};
/// Tokens of an answer that an engine of the configuration makes within a second.
const http_header short_answer{"X-Citronseam-Token-Usage", "10,20"};

const http_header key_header{"Authorization", std::string("Token ") + platform_world::api_key};

/// What a client has seen of one request.
struct seen_answer {
    std::string attempt;
    std::string path;
    bool is_connected{false};
    bool is_sent{false}; ///< all of it was given to the operating system
    std::string text;
    bool is_whole{false};
    time_point sent_at;
    time_point ended_at;

    int status() const {
        constexpr std::size_t status_position = 9;
        return text.size() < status_position + 3 ? 0 : std::stoi(text.substr(status_position, 3));
    }
};

/// @return whether a response has all bytes that its head states
bool is_whole_answer(const std::string& text) {
    const auto head_end = text.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return false;
    }
    const std::string head = text.substr(0, head_end + 2);
    const std::string body = text.substr(head_end + 4);
    const std::string length_name = "\r\nContent-Length: ";
    const auto length = head.find(length_name);
    if (length != std::string::npos) {
        return body.size() >= std::stoul(head.substr(length + length_name.size()));
    }
    return body.ends_with("0\r\n\r\n");
}

/// A connection of a client to a gateway.
class client_connection {
public:
    explicit client_connection(std::uint16_t port) : port_(port) {}

    bool connect() {
        asio::error_code error;
        socket_.connect({asio::ip::make_address("127.0.0.1"), port_}, error);
        const timeval limit{patience.count(), 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        return !error;
    }

    bool send(const std::string& bytes) {
        asio::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
        return !error;
    }

    /// Receives until the answer is whole or the connection ends.
    void receive(seen_answer& answer) {
        std::array<char, 4096> bytes{};
        while (!answer.is_whole) {
            const auto size = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), 0);
            if (size <= 0) {
                break;
            }
            answer.text.append(bytes.data(), static_cast<std::size_t>(size));
            answer.is_whole = is_whole_answer(answer.text);
        }
        answer.ended_at = std::chrono::steady_clock::now();
    }

private:
    std::uint16_t port_;
    asio::io_context loop_;
    tcp::socket socket_{loop_};
};

/// A request of a client.
struct client_request {
    std::string method{"POST"};
    std::string path;
    std::vector<http_header> headers;
    std::string body;
};

std::string to_bytes(const client_request& request, const std::string& attempt) {
    std::string text = request.method + " " + request.path +
                       " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token " +
                       platform_world::api_key + "\r\nX-Citronseam-Attempt-Id: " + attempt + "\r\n";
    for (const auto& header : request.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" +
           request.body;
}

http_header deadline(milliseconds time) {
    return {"X-Citronseam-Deadline-Ms", std::to_string(time.count())};
}

std::string worked(const std::string& path, milliseconds work) {
    return path + "?work_ms=" + std::to_string(work.count());
}

class planned_stop : public ::testing::Test {
protected:
    void start(seconds grace, milliseconds timeout) {
        grace_ = grace;
        world.set_grace_period(grace);
        world.edit_configuration([timeout](nlohmann::json& configuration) {
            for (auto& route : configuration["routes"]) {
                route["timeout_ms"] = timeout.count();
            }
        });
        ASSERT_TRUE(world.start()) << world.gateway(0).output();
        ASSERT_TRUE(wait_until(
            [this] {
                return world.call(0, "GET", "/look/1", {key_header}).outcome.status == 200 &&
                       world.call(0, "POST", "/draft/1", {key_header}).outcome.status == 200;
            },
            start_time));
    }

    void stop() {
        stopped_at_ = std::chrono::steady_clock::now();
        world.gateway(0).send_signal(SIGTERM);
    }

    /// Lets the servers take more requests at once, and waits until gateways know.
    void set_slots(int slots) {
        for (const auto* servers : {&world.plain_servers, &world.engines}) {
            for (const auto& server : *servers) {
                auto entry = nlohmann::json::parse(world.store.value("servers", server->id()));
                entry["slots"] = slots;
                world.store.put("servers", server->id(), entry.dump());
            }
        }
        std::this_thread::sleep_for(listing_time);
    }

    /// Waits until so long after SIGTERM.
    void wait_for(microseconds after_stop) const {
        std::this_thread::sleep_until(stopped_at_ + after_stop);
    }

    /// Waits until the gateway has ended what is open, and checks that it then exits in time.
    void expect_exit() {
        EXPECT_EQ(world.gateway(0).wait_for_exit(patience), 0) << world.gateway(0).output();
        EXPECT_LT(std::chrono::steady_clock::now() - stopped_at_, grace_);
    }

    std::string next_attempt() { return "late-" + std::to_string(++attempt_count_); }

    /// Sends a request on a connection that is open, and awaits its answer on another thread.
    std::future<seen_answer> send(const std::shared_ptr<client_connection>& connection,
                                  const client_request& request) {
        seen_answer answer;
        answer.attempt = next_attempt();
        answer.path = request.path;
        answer.is_connected = true;
        answer.sent_at = std::chrono::steady_clock::now();
        answer.is_sent = connection->send(to_bytes(request, answer.attempt));
        return std::async(std::launch::async, [connection, answer]() mutable {
            connection->receive(answer);
            return answer;
        });
    }

    std::shared_ptr<client_connection> open() {
        auto connection = std::make_shared<client_connection>(world.http_port(0));
        return connection->connect() ? connection : nullptr;
    }

    std::future<seen_answer> send(const client_request& request) {
        const auto connection = open();
        if (connection == nullptr) {
            std::promise<seen_answer> refused;
            refused.set_value({});
            return refused.get_future();
        }
        return send(connection, request);
    }

    int runs_of(const std::string& attempt) const {
        int runs = 0;
        const auto count = [&](const auto& servers) {
            for (const auto& server : servers) {
                const auto all = server->runs_per_attempt();
                const auto found = all.find(attempt);
                runs += found == all.end() ? 0 : found->second;
            }
        };
        count(world.plain_servers);
        count(world.engines);
        return runs;
    }

    /// Checks that a request was refused, that this is true, and that the client knows when to
    /// come back.
    void expect_refused(const seen_answer& answer) const {
        EXPECT_EQ(answer.status(), 503) << describe(answer);
        EXPECT_TRUE(answer.is_whole) << describe(answer);
        EXPECT_NE(answer.text.find("Retry-After"), std::string::npos) << describe(answer);
        EXPECT_EQ(runs_of(answer.attempt), 0) << describe(answer);
        EXPECT_LT(answer.ended_at - answer.sent_at, timing_slack) << describe(answer);
    }

    std::string describe(const seen_answer& answer) const {
        return answer.attempt + " " + answer.path + " sent " +
               std::to_string(elapsed_ms(stopped_at_, answer.sent_at)) +
               " ms after SIGTERM, ended " +
               std::to_string(elapsed_ms(stopped_at_, answer.ended_at)) + " ms after it, runs " +
               std::to_string(runs_of(answer.attempt)) + ", answer '" + answer.text.substr(0, 400) +
               "'";
    }

    /// Checks a request that was sent at some time of the grace period.
    void expect_true_end(const seen_answer& answer) const {
        if (!answer.is_connected) {
            EXPECT_TRUE(answer.text.empty());
            return;
        }
        const int runs = runs_of(answer.attempt);
        EXPECT_LE(runs, answer.path.starts_with("/book") || answer.path.starts_with("/draft-once")
                            ? 1
                            : 3)
            << describe(answer);
        if (answer.text.empty()) {
            // It crossed the close.
            EXPECT_EQ(runs, 0) << describe(answer);
            EXPECT_LT(answer.ended_at - answer.sent_at, loss_slack) << describe(answer);
            return;
        }
        EXPECT_TRUE(answer.is_whole) << describe(answer);
        const int status = answer.status();
        if (status == 503) {
            EXPECT_EQ(runs, 0) << describe(answer);
        } else {
            EXPECT_TRUE(status == 200 || status == 502 || status == 504) << describe(answer);
        }
    }

    platform_world world;

private:
    seconds grace_{0};
    time_point stopped_at_;
    int attempt_count_{0};
};

// Guards against LOST: streams that came more than 3 s after SIGTERM were accepted by an estimate
// of their length and cut when their engine took longer.
TEST_F(planned_stop, late_stream_is_refused_unless_its_end_in_time_is_certain) {
    start(seconds(8), long_timeout);
    for (const auto& engine : world.engines) {
        engine->event_interval_ms = 450;
    }
    stop();
    wait_for(milliseconds(4500));
    auto resumable = send({"POST", "/draft/2", {short_answer}, ""});
    auto once = send({"POST", "/draft-once/2", {short_answer}, ""});
    auto short_lived = send({"POST", "/draft/3", {short_answer, deadline(milliseconds(1500))}, ""});
    expect_refused(resumable.get());
    expect_refused(once.get());
    EXPECT_EQ(runs_of(short_lived.get().attempt), 1) << "its deadline ends it in time";
    expect_exit();
}

// Guards against LOST: a request that may not be repeated was accepted by an estimate of its
// length at any time of the grace period.
TEST_F(planned_stop, request_that_may_not_be_repeated_is_refused_unless_its_end_is_certain) {
    start(seconds(8), long_timeout);
    for (const auto& engine : world.engines) {
        engine->event_interval_ms = 1100;
    }
    stop();
    wait_for(milliseconds(500));
    auto stream = send({"POST", "/draft-once/2", {short_answer}, ""});
    auto booking = send({"POST", "/book/2", {}, ""});
    auto bounded = send({"POST", "/book/3", {deadline(milliseconds(3000))}, ""});
    const auto ended = bounded.get();
    EXPECT_EQ(ended.status(), 200) << "its deadline ends it in time: " << describe(ended);
    expect_refused(booking.get());
    expect_refused(stream.get());
    expect_exit();
}

// Guards against LOST: what was open at the end of the grace period ended with a closed connection.
TEST_F(planned_stop, request_that_is_open_at_the_end_of_the_grace_gets_a_final_answer) {
    start(seconds(4), long_timeout);
    std::vector<std::future<seen_answer>> open;
    open.push_back(send({"POST", worked("/book/2", endless_work), {}, ""}));
    open.push_back(send({"GET", worked("/look/2", endless_work), {}, ""}));
    for (const auto& engine : world.engines) {
        engine->queue_delay_ms = static_cast<int>(endless_work.count());
    }
    open.push_back(send({"POST", "/draft/2", {}, ""}));
    open.push_back(send({"POST", "/draft-once/2", {}, ""}));
    std::this_thread::sleep_for(milliseconds(300));
    stop();
    for (auto& pending : open) {
        const auto answer = pending.get();
        EXPECT_EQ(answer.status(), 504) << describe(answer);
        EXPECT_TRUE(answer.is_whole) << describe(answer);
        if (!answer.path.starts_with("/look")) {
            EXPECT_LE(runs_of(answer.attempt), 1) << describe(answer);
        }
    }
    expect_exit();
}

// Guards against MIXED: a stream that is cut at the end of the grace period must not look complete.
TEST_F(planned_stop, stream_that_is_open_at_the_end_of_the_grace_is_broken_off) {
    start(seconds(4), long_timeout);
    for (const auto& engine : world.engines) {
        engine->event_interval_ms = 900;
    }
    auto pending = send({"POST", "/draft-once/2", {}, ""});
    std::this_thread::sleep_for(milliseconds(200));
    stop();
    const auto stream = pending.get();
    EXPECT_EQ(stream.status(), 200) << describe(stream);
    EXPECT_FALSE(stream.is_whole) << describe(stream);
    EXPECT_NE(stream.text.find("id: 3"), std::string::npos) << "goes on during the grace period";
    expect_exit();
}

// Guards against LOST: a request that its first server refused during the grace period was sent to
// another one, whose answer the exit cut off.
TEST_F(planned_stop, refused_request_is_not_sent_again_when_its_end_is_not_certain) {
    world.edit_configuration(
        [](nlohmann::json& configuration) { configuration["routes"][1]["max_attempts"] = 2; });
    constexpr milliseconds refusal_delay{700};
    std::atomic<bool> is_first{true};
    for (const auto& desk : world.plain_servers) {
        desk->set_arrival_handler([&, server = desk.get()](const std::string& attempt) {
            if (attempt.starts_with("late-") && is_first.exchange(false)) {
                server->is_overloaded = true;
                std::this_thread::sleep_for(refusal_delay);
            }
        });
    }
    start(seconds(4), long_timeout);
    auto pending = send({"POST", worked("/book/2", endless_work), {}, ""});
    std::this_thread::sleep_for(refusal_delay / 3);
    stop();
    const auto answer = pending.get();
    EXPECT_EQ(answer.status(), 503) << describe(answer);
    EXPECT_EQ(runs_of(answer.attempt), 0) << describe(answer);
    expect_exit();
}

// Guards against a closed connection without an answer while a request is on its way.
TEST_F(planned_stop, request_whose_body_is_on_its_way_at_the_end_of_the_grace_is_refused) {
    start(seconds(4), long_timeout);
    const auto connection = open();
    const auto late = open();
    ASSERT_TRUE(connection != nullptr && late != nullptr);
    stop();
    seen_answer unfinished;
    unfinished.attempt = next_attempt();
    const std::string bytes = to_bytes({"POST", "/book/2", {}, "0123456789"}, unfinished.attempt);
    ASSERT_TRUE(connection->send(bytes.substr(0, bytes.size() - 1)));
    seen_answer finished_late;
    finished_late.attempt = next_attempt();
    const std::string slow = to_bytes({"POST", "/book/3", {}, "0123456789"}, finished_late.attempt);
    ASSERT_TRUE(late->send(slow.substr(0, slow.size() - 1)));
    wait_for(milliseconds(2500));
    finished_late.sent_at = std::chrono::steady_clock::now();
    ASSERT_TRUE(late->send("9"));
    late->receive(finished_late);
    expect_refused(finished_late);
    connection->receive(unfinished);
    EXPECT_EQ(unfinished.status(), 503) << describe(unfinished);
    EXPECT_TRUE(unfinished.is_whole) << describe(unfinished);
    EXPECT_EQ(runs_of(unfinished.attempt), 0);
    expect_exit();
}

// Guards against LOST: a request that came as an idle gateway ended was passed on and cut.
TEST_F(planned_stop, requests_that_cross_the_exit_in_the_grace_are_not_passed_on) {
    constexpr int request_count = 400;
    constexpr milliseconds first{5950};
    constexpr microseconds interval{500};
    start(seconds(8), milliseconds(150));
    stop();
    std::vector<std::shared_ptr<client_connection>> kept;
    while (kept.size() < request_count) {
        kept.push_back(open());
        ASSERT_NE(kept.back(), nullptr);
    }
    std::vector<std::future<seen_answer>> pending;
    for (std::size_t i = 0; i < kept.size(); ++i) {
        wait_for(first + interval * i);
        pending.push_back(send(kept[i], {"POST", "/book/2", {}, ""}));
    }
    int answered = 0;
    for (auto& one : pending) {
        const auto answer = one.get();
        expect_true_end(answer);
        answered += answer.status() == 200 ? 1 : 0;
    }
    EXPECT_GT(answered, 0);
    expect_exit();
}

// Guards against LOST: requests of all kinds that come at any time of the grace period.
TEST_F(planned_stop, requests_through_the_whole_grace_are_answered_or_truly_refused) {
    constexpr milliseconds interval{200};
    constexpr seconds grace{8};
    constexpr milliseconds first_event{400};
    world.edit_configuration([](nlohmann::json& configuration) {
        for (auto& route : configuration["routes"]) {
            route["slo_ms"] = long_timeout.count();
        }
    });
    start(grace, milliseconds(6000));
    set_slots(512);
    struct kind {
        client_request request;
        milliseconds limit; ///< its deadline
        bool is_quick;      ///< its server answers before that
    };
    std::vector<kind> kinds;
    for (const int work_ms : {50, 400, 2500, 12000}) {
        const milliseconds work(work_ms);
        const milliseconds short_limit(900);
        const milliseconds timeout(6000);
        const auto add = [&](const char* method, const char* path, milliseconds limit) {
            kinds.push_back({{method, worked(path, work), {deadline(limit)}, "body"},
                             limit,
                             work + timing_slack < limit});
        };
        add("POST", "/book/2", timeout);
        add("POST", "/book/3", short_limit);
        add("GET", "/look/2", short_limit);
    }
    kinds.push_back({{"POST", "/draft/2", {short_answer, deadline(milliseconds(1500))}, ""},
                     milliseconds(1500),
                     true});
    kinds.push_back(
        {{"POST", "/draft-once/2", {deadline(milliseconds(1500))}, ""}, milliseconds(1500), true});
    const std::size_t waves = (grace - grace_margin + first_event) / interval;
    std::vector<std::shared_ptr<client_connection>> kept;
    for (std::size_t i = 0; i < waves; ++i) {
        kept.push_back(open());
        ASSERT_NE(kept.back(), nullptr);
    }
    stop();
    struct sent_request {
        std::future<seen_answer> answer;
        bool is_served;
    };
    std::vector<sent_request> pending;
    for (std::size_t wave = 0; wave < waves; ++wave) {
        const milliseconds at = interval * wave;
        wait_for(at);
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            const bool is_kept = i == wave % kinds.size();
            const bool ends_in_time = at + kinds[i].limit + timing_slack < grace - grace_margin;
            pending.push_back(
                {is_kept ? send(kept[wave], kinds[i].request) : send(kinds[i].request),
                 kinds[i].is_quick && ends_in_time});
        }
    }
    for (auto& one : pending) {
        const auto answer = one.answer.get();
        expect_true_end(answer);
        if (one.is_served) {
            EXPECT_EQ(answer.status(), 200) << describe(answer);
        }
    }
    expect_exit();
}

} // namespace
