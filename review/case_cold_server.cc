// Many users come at once to a server that has just started and is cold. Several gateways are
// killed together and start again half a second later.
//
// Usage: case_cold_server RECORD
#include <algorithm>
#include <cstdio>
#include <thread>

#include "review_world.hh"

namespace {

using namespace citronseam;
using namespace citronseam::review;

/// cold_s and cold_per_s of the site's services, and the bounds cold_over and cold_slack.
constexpr double cold_s = 3.0;
constexpr double cold_per_s = 36.0;
constexpr double cold_over = 1.5;
constexpr double cold_slack = 5.0;
constexpr std::size_t caller_count = 42;
/// herd_kill with the share of the site file, 0.55, of seven gateways, rounded up.
constexpr std::size_t killed_gateways = 4;
constexpr milliseconds caller_interval{50};
constexpr milliseconds kill_delay{200};
constexpr const char* key = "key-1";

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record log(argv[1]);
    std::mutex mutex;
    std::vector<double> arrivals;
    review_world world(log, {"nord-tunis", "sahel-sfax", "sud-gabes", "nord-tunis", "sahel-sfax",
                             "sud-gabes", "nord-tunis"});
    world.set_cold_rate(cold_s, cold_per_s);
    listed_standin& server = world.add_server("desk-1", "nord-tunis");
    server.server->set_arrival_handler([&](const std::string& attempt) {
        log.write("request " + attempt + " reaches desk-1");
        const std::lock_guard<std::mutex> lock(mutex);
        arrivals.push_back(log.now_ms());
    });
    server.is_listed = false;
    world.put_configuration(3, {key});
    if (!world.start()) {
        log.write("the gateways did not get ready");
        return 2;
    }
    std::this_thread::sleep_for(milliseconds(1000));
    server.cold_ms = static_cast<int>(cold_s * 1000);
    server.is_listed = true;
    world.write_entries();
    const double cold_until_ms = log.now_ms() + cold_s * 1000;
    log.write("desk-1 starts; it is cold");
    std::this_thread::sleep_for(milliseconds(600));
    log.write("many users come at once");
    std::atomic<bool> is_ending{false};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.emplace_back([&, i] {
            while (!is_ending) {
                const std::string attempt = make_attempt_id();
                const auto answer = world.call(i % world.gateway_count(), "GET", "/look/" + attempt,
                                               key, milliseconds(1500), attempt);
                log.write("request " + attempt + " is answered " +
                          std::to_string(answer.outcome.status));
                std::this_thread::sleep_for(caller_interval);
            }
        });
    }
    std::this_thread::sleep_for(kill_delay);
    if (has_trouble()) {
        world.kill_gateways_and_restart(killed_gateways);
    }
    std::this_thread::sleep_for(milliseconds(1200));
    is_ending = true;
    for (auto& caller : callers) {
        caller.join();
    }
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    double most_at_ms = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        if (arrivals[last] > cold_until_ms) {
            break;
        }
        while (arrivals[last] - arrivals[first] >= 1000.0) {
            ++first;
        }
        if (last - first + 1 > most) {
            most = last - first + 1;
            most_at_ms = arrivals[first];
        }
    }
    const double bound = cold_per_s * cold_over + cold_slack;
    const std::string result = "FAILBACK: the cold server got " + std::to_string(most) +
                               " requests in the second from " +
                               std::to_string(static_cast<int>(most_at_ms)) + " ms; the bound is " +
                               std::to_string(static_cast<int>(bound));
    log.write(result);
    std::printf("%s\n", result.c_str());
    return static_cast<double>(most) > bound ? 1 : 0;
}
