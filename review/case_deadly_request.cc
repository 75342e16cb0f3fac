// A request crashes each server that begins to run it, until the gateways refuse it. Then all
// gateways are killed together and start again. The same request comes again.
//
// Usage: case_deadly_request RECORD
#include <csignal>
#include <cstdio>
#include <map>
#include <thread>

#include "crashing_servers.hh"

namespace {

using namespace citronseam;
using namespace citronseam::review;

constexpr std::size_t server_count = 6;
constexpr milliseconds calm_time = contact_time + milliseconds(500);
/// Time for which the request comes again.
constexpr milliseconds return_time{9000};
constexpr milliseconds return_interval{1000};
/// "In more than three retries."
constexpr std::size_t max_retries = 3;
constexpr const char* key = "key-1";
constexpr const char* deadly_target = "/look/deadly";

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record log(argv[1]);
    const std::vector<std::string> zones{"nord-tunis", "sahel-sfax", "sud-gabes"};
    review_world world(log, zones);
    std::size_t retries = 0;
    {
        crashing_servers servers(world, log, crash_kind::close);
        for (std::size_t i = 0; i < server_count; ++i) {
            servers.add(i, zones[i % zones.size()]);
        }
        world.put_configuration(3, {key});
        if (!world.start()) {
            log.write("the gateways did not get ready");
            return 2;
        }
        std::atomic<int> count{0};
        const auto send = [&](std::size_t gateway) {
            const std::string attempt = "dead" + std::to_string(++count);
            log.write("request " + attempt + " is sent to edge-" + std::to_string(gateway));
            const int status =
                world.call(gateway, "GET", deadly_target, key, milliseconds(1500), attempt)
                    .outcome.status;
            log.write("request " + attempt + " is answered " + std::to_string(status));
            return status;
        };
        const auto serves = [&] {
            for (std::size_t i = 0; i < world.gateway_count(); ++i) {
                if (world.call(i, "GET", "/look/other", key, milliseconds(1500)).outcome.status !=
                    200) {
                    return false;
                }
            }
            return true;
        };
        // Until the gateways know the request.
        for (int i = 0; servers.arrivals().size() < 3 && i < 10; ++i) {
            if (!wait_until(serves, milliseconds(6000))) {
                log.write("other requests are not served");
                return 2;
            }
            send(static_cast<std::size_t>(i) % world.gateway_count());
            std::this_thread::sleep_for(milliseconds(500));
        }
        if (servers.arrivals().size() < 3) {
            log.write("the request did not crash three servers");
            return 2;
        }
        log.write("three servers have crashed");
        std::this_thread::sleep_for(crashing_servers::absence + calm_time);
        if (has_trouble()) {
            world.kill_gateways_and_restart(world.gateway_count());
            if (!world.wait_until_ready(milliseconds(10000)) ||
                !wait_until(serves, milliseconds(6000))) {
                log.write("the gateways did not get ready again");
                return 2;
            }
            log.write("all gateways are ready again");
        }
        std::this_thread::sleep_for(calm_time);
        log.write("the request comes again, at all machines");
        const double returned_ms = log.now_ms();
        std::vector<std::thread> callers;
        for (std::size_t gateway = 0; gateway < world.gateway_count(); ++gateway) {
            callers.emplace_back([&, gateway] {
                const auto end = std::chrono::steady_clock::now() + return_time;
                while (std::chrono::steady_clock::now() < end) {
                    send(gateway);
                    std::this_thread::sleep_for(return_interval);
                }
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
        for (const double at_ms : servers.arrivals()) {
            retries += at_ms >= returned_ms ? 1 : 0;
        }
    }
    const std::string result = "BUDGET: later than " + std::to_string(contact_time.count()) +
                               " ms after it had crashed the third server, the request reached " +
                               std::to_string(retries) + " servers";
    log.write(result);
    std::printf("%s\n", result.c_str());
    return retries > max_retries ? 1 : 0;
}
