// FAILBACK: the entry of a cold server lapses in the store and is back with its next heartbeat, while
// many callers want it.
#include "second_world.hh"

using namespace review;

namespace {

constexpr long start_time_ms = 20000;
constexpr long heartbeat_ms = 1200;
constexpr long silence_ms = 3 * heartbeat_ms;
constexpr long lapse_ms = 450;      ///< from the removal of the entry to the next heartbeat
constexpr int lapse_count = 5;      ///< with calm time between them
constexpr long calm_time_ms = 6000; ///< over three heartbeats
constexpr int callers_per_gateway = 12;
constexpr long caller_pause_ms = 50;
constexpr double cold_bound = 36 * 1.5 + 5; ///< cold_per_s x cold_over + cold_slack
constexpr long window_ms = 1000;
constexpr long cold_ms = 3000;             ///< cold_s
constexpr long cold_before_lapse_ms = 600; ///< the server turns cold again so long before the lapse

/// @return the most requests in a second that lies within a cold time, and the end of that second
std::pair<std::size_t, long> count_most(const std::vector<long>& arrived,
                                        const std::vector<long>& cold_from) {
    std::pair<std::size_t, long> most{0, 0};
    for (const long from : cold_from) {
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrived.size(); ++last) {
            while (arrived[first] < from || arrived[last] - arrived[first] >= window_ms) {
                if (++first > last) {
                    break;
                }
            }
            if (first <= last && arrived[last] < from + cold_ms) {
                most = std::max(most, std::make_pair(last - first + 1, arrived[last]));
            }
            first = std::min(first, last);
        }
    }
    return most;
}

int play() {
    // Never destroyed: the threads of the stand-ins use them until the process ends.
    auto& rows = *new store;
    auto& origin = *new weight_origin;
    auto& mutex = *new std::mutex;
    auto& arrived = *new std::vector<long>;
    deployment world(rows.address());
    json configuration = make_configuration(1, origin.address());
    for (json& service : configuration["services"]) {
        if (service["name"] == "desk") {
            service["cold_s"] = cold_ms / 1000.0;
            service["cold_per_s"] = 36.0;
        }
    }
    rows.put("op", "config", configuration);
    auto& server = *new desk("i-desk-1");
    server.on_run = [&](const http_message& request, stream_socket& socket) {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            arrived.push_back(elapsed_ms());
        }
        sleep_ms(5);
        return socket.send(server.answer_to(request));
    };
    std::atomic<int> beats{0};
    std::atomic<long> cold_until{0};
    std::atomic<bool> is_lapsed{false};
    std::vector<long> cold_from;
    const auto put_row = [&] {
        json row = server.row(places[0].zone);
        row["cold_ms"] = std::max(0L, cold_until - elapsed_ms());
        row["sequence"] = ++beats;
        row["born"] = 1700000000000;
        row["slots"] = 64;
        rows.put("servers", server.id(), row);
    };
    put_row();
    for (const std::size_t zone : {0U, 0U, 0U, 1U, 1U, 2U, 2U}) {
        world.add_gateway(zone);
    }
    std::atomic<bool> is_over{false};
    std::thread heart([&] {
        while (!is_over) {
            if (!is_lapsed) {
                put_row();
            }
            sleep_ms(heartbeat_ms);
        }
    });
    world.start();
    if (!world.wait_until_ready(start_time_ms)) {
        record.write("the gateways are not ready");
        is_over = true;
        heart.join();
        return verdict::not_run;
    }
    sleep_ms(2000);
    std::atomic<int> served{0};
    std::vector<std::thread> callers;
    for (auto& gateway : world.gateways) {
        for (int i = 0; i < callers_per_gateway; ++i) {
            callers.emplace_back([&] {
                while (!is_over) {
                    const auto answer = fetch(
                        gateway->front,
                        make_request("GET", "/look/x", client_headers(next_attempt(), 1500), ""),
                        2500);
                    served += answer.message.status == 200 ? 1 : 0;
                    sleep_ms(caller_pause_ms);
                }
            });
        }
    }
    for (int lapse = 0; lapse < lapse_count; ++lapse) {
        sleep_ms(calm_time_ms);
        if (has_trouble()) {
            is_lapsed = true;
            record.write("server: its heartbeats don't reach the store from now on");
        }
        sleep_ms(silence_ms - cold_before_lapse_ms);
        cold_from.push_back(elapsed_ms());
        cold_until = elapsed_ms() + cold_ms;
        record.write("server: is cold again, for " + std::to_string(cold_ms) + " ms");
        sleep_ms(cold_before_lapse_ms);
        if (has_trouble()) {
            record.write("store: the entry of the server has lapsed");
            rows.remove("servers", server.id());
            sleep_ms(lapse_ms);
            is_lapsed = false;
            put_row();
            record.write("server: its next heartbeat writes the entry again");
        }
    }
    sleep_ms(cold_ms);
    is_over = true;
    heart.join();
    for (auto& caller : callers) {
        caller.join();
    }
    const std::lock_guard<std::mutex> lock(mutex);
    std::sort(arrived.begin(), arrived.end());
    const auto [most, most_at] = count_most(arrived, cold_from);
    record.write("server: " + std::to_string(arrived.size()) + " requests reached it, " +
                 std::to_string(served.load()) + " were answered with 200");
    if (served < 200) {
        record.write("too little was served");
        return verdict::not_run;
    }
    const bool is_broken = static_cast<double>(most) > cold_bound;
    record.write(std::string(is_broken ? "FAILBACK is broken" : "FAILBACK held") + ": up to " +
                 std::to_string(most) + " requests in the second that ends at " +
                 std::to_string(most_at) + ", " +
                 std::to_string(static_cast<int>(cold_bound)) + " are allowed");
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** arguments) {
    record.open(arguments[1]);
    const int result = play();
    ::_exit(result); // the threads of the stand-ins still run
}
