// A drill restores the store from a copy. Later, with the store calm for longer than contact_ms, a
// server reports that it drains. The callers' requests must leave it within drain_timeout_ms.
//
// Usage: case_restored_store RECORD
#include <cstdio>
#include <map>
#include <set>
#include <thread>

#include "review_world.hh"

namespace {

using namespace citronseam;
using namespace citronseam::review;

/// "A copy some seconds old".
constexpr milliseconds copy_age{3000};
/// "Away for a moment".
constexpr milliseconds outage{300};
/// The store is stable once it has been without disruption for contact_ms.
constexpr milliseconds calm_time = contact_time + milliseconds(200);
/// A server goes on for drain_timeout_ms "and a little longer, and then exits".
constexpr milliseconds exit_delay = drain_timeout + milliseconds(400);
constexpr milliseconds watch_time{6000};
constexpr milliseconds request_interval{40};
constexpr const char* key = "key-1";
constexpr const char* leaving_server = "desk-nord-tunis";

struct sent_request {
    double sent_ms{0};
    std::size_t gateway{0};
    bool is_booking{false};
    int status{0};
};

struct arrival {
    std::string attempt;
    std::string server;
    double at_ms{0};
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record log(argv[1]);
    std::mutex mutex;
    std::map<std::string, sent_request> sent; // by attempt id
    std::vector<arrival> arrivals;
    std::atomic<bool> is_ending{false};

    // Three gateways in one zone and two in each other one, as on the site.
    review_world world(log, {"nord-tunis", "nord-tunis", "nord-tunis", "sahel-sfax", "sahel-sfax",
                             "sud-gabes", "sud-gabes"});
    for (const std::string zone : {"nord-tunis", "sahel-sfax", "sud-gabes"}) {
        const std::string id = "desk-" + zone;
        world.add_server(id, zone).server->set_arrival_handler([&, id](const std::string& attempt) {
            log.write("request " + attempt + " reaches " + id);
            const std::lock_guard<std::mutex> lock(mutex);
            arrivals.push_back({attempt, id, log.now_ms()});
        });
    }
    world.put_configuration(3, {key});
    if (!world.start()) {
        log.write("the gateways did not get ready");
        return 2;
    }
    log.write("all gateways are ready");

    const auto call = [&](std::size_t gateway, bool is_booking) {
        std::size_t count = 0;
        while (!is_ending) {
            const std::string attempt = make_attempt_id();
            const double sent_ms = log.now_ms();
            {
                const std::lock_guard<std::mutex> lock(mutex);
                sent[attempt] = {sent_ms, gateway, is_booking, 0};
            }
            const std::string number = std::to_string(count++);
            const auto answer = world.call(gateway, is_booking ? "POST" : "GET",
                                           (is_booking ? "/book/" : "/look/") + number +
                                               (is_booking ? "?work_ms=60" : "?work_ms=15"),
                                           key, milliseconds(1500), attempt);
            log.write("request " + attempt + (is_booking ? " (book)" : " (look)") +
                      " sent to edge-" + std::to_string(gateway) + " at " +
                      std::to_string(sent_ms) + " ms is answered " +
                      std::to_string(answer.outcome.status) + ", seal '" +
                      find_header(answer.headers, "X-Citronseam-Response-Seal") + "'");
            {
                const std::lock_guard<std::mutex> lock(mutex);
                sent[attempt].status = answer.outcome.status;
            }
            std::this_thread::sleep_for(request_interval);
        }
    };
    std::vector<std::thread> callers;
    for (std::size_t gateway = 0; gateway < world.gateway_count(); ++gateway) {
        callers.emplace_back(call, gateway, false);
        callers.emplace_back(call, gateway, true);
        callers.emplace_back(call, gateway, true);
    }
    std::this_thread::sleep_for(milliseconds(2000));

    if (has_trouble()) {
        log.write("drill: the copy is taken");
        world.store.save_copy();
        std::this_thread::sleep_for(copy_age);
        log.write("drill: the store is away");
        world.store.is_down = true;
        std::this_thread::sleep_for(outage);
        world.store.restore_copy();
        world.store.is_down = false;
        // What the operator and the servers wrote is written again.
        world.put_configuration(3, {key});
        world.write_entries();
        log.write("drill: the store is back from the copy; its rows are written again");
    } else {
        std::this_thread::sleep_for(copy_age + outage);
    }
    std::this_thread::sleep_for(calm_time);

    listed_standin& leaving = *world.servers.front();
    leaving.state = "draining";
    world.write_entries();
    const double acknowledged_ms = log.now_ms();
    log.write("the store acknowledges that " + std::string(leaving_server) + " is draining");
    std::this_thread::sleep_for(exit_delay);
    const double ended_ms = log.now_ms();
    log.write(std::string(leaving_server) + " exits");
    world.end_server(leaving);
    std::this_thread::sleep_for(watch_time - exit_delay);
    is_ending = true;
    for (auto& caller : callers) {
        caller.join();
    }

    const double due_ms = acknowledged_ms + static_cast<double>(drain_timeout.count());
    int late = 0;
    int unanswered_bookings = 0;
    double last_ms = 0;
    std::set<std::size_t> late_gateways;
    for (const arrival& run : arrivals) {
        const auto request = sent.find(run.attempt);
        if (request == sent.end() || run.server != leaving_server ||
            request->second.sent_ms <= due_ms) {
            continue;
        }
        const sent_request& details = request->second;
        ++late;
        last_ms = std::max(last_ms, run.at_ms - acknowledged_ms);
        late_gateways.insert(details.gateway);
        const bool is_cut = details.is_booking && details.status != 200;
        unanswered_bookings += is_cut ? 1 : 0;
        log.write("DRAIN: request " + run.attempt + " was sent to edge-" +
                  std::to_string(details.gateway) + " " +
                  std::to_string(details.sent_ms - acknowledged_ms) +
                  " ms after the acknowledgement, and reached " + run.server +
                  (is_cut ? "; a booking that ran and got " + std::to_string(details.status) : ""));
    }
    const std::string result =
        "DRAIN: " + std::to_string(late) + " requests that were sent later than " +
        std::to_string(drain_timeout.count()) + " ms after the acknowledgement reached " +
        leaving_server + ", the last one after " + std::to_string(static_cast<int>(last_ms)) +
        " ms (it exited after " + std::to_string(static_cast<int>(ended_ms - acknowledged_ms)) +
        " ms), through " + std::to_string(late_gateways.size()) + " gateways; " +
        std::to_string(unanswered_bookings) + " of them were bookings that lost their answer";
    log.write(result);
    std::printf("%s\n", result.c_str());
    return late > 0 ? 1 : 0;
}
