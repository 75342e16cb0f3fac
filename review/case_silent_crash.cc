// A request crashes each server that begins to run it. With trouble, the crashed servers go dark:
// their connections fall silent instead of being closed. The request comes again for a while.
//
// Usage: case_silent_crash RECORD
#include <cstdio>
#include <thread>

#include "crashing_servers.hh"

namespace {

using namespace citronseam;
using namespace citronseam::review;

constexpr std::size_t server_count = 6;
/// Time for which the request comes again.
constexpr milliseconds return_time{24000};
constexpr milliseconds return_interval{2000};
/// "In more than three retries", counted from contact_ms after the third crash.
constexpr std::size_t crashes_to_learn = 3;
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
    std::vector<double> arrivals;
    {
        crashing_servers servers(world, log, has_trouble() ? crash_kind::dark : crash_kind::close);
        for (std::size_t i = 0; i < server_count; ++i) {
            servers.add(i, zones[i % zones.size()]);
        }
        world.put_configuration(3, {key});
        if (!world.start()) {
            log.write("the gateways did not get ready");
            return 2;
        }
        const bool is_served = wait_until(
            [&] {
                for (std::size_t i = 0; i < world.gateway_count(); ++i) {
                    if (world.call(i, "GET", "/look/other", key, milliseconds(1500))
                            .outcome.status != 200) {
                        return false;
                    }
                }
                return true;
            },
            milliseconds(6000));
        if (!is_served) {
            log.write("requests are not served");
            return 2;
        }
        std::size_t count = 0;
        const auto end = std::chrono::steady_clock::now() + return_time;
        while (std::chrono::steady_clock::now() < end) {
            const std::size_t gateway = count % world.gateway_count();
            const std::string attempt = "dead" + std::to_string(++count);
            log.write("request " + attempt + " is sent to edge-" + std::to_string(gateway));
            const auto answer =
                world.call(gateway, "GET", deadly_target, key, milliseconds(1500), attempt);
            log.write("request " + attempt + " is answered " +
                      std::to_string(answer.outcome.status));
            std::this_thread::sleep_for(return_interval);
        }
        arrivals = servers.arrivals();
    }
    if (arrivals.size() < crashes_to_learn) {
        log.write("the request did not crash three servers");
        return 2;
    }
    const double due_ms =
        arrivals[crashes_to_learn - 1] + static_cast<double>(contact_time.count());
    std::size_t retries = 0;
    for (const double at_ms : arrivals) {
        retries += at_ms > due_ms ? 1 : 0;
    }
    const std::string result = "BUDGET: the request crashed " + std::to_string(arrivals.size()) +
                               " servers; later than " + std::to_string(contact_time.count()) +
                               " ms after it had crashed the third, it reached " +
                               std::to_string(retries);
    log.write(result);
    std::printf("%s\n", result.c_str());
    return retries > max_retries ? 1 : 0;
}
