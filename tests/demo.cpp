// Demo: runs a complete deployment on the stand-ins and prints a streamed completion and a response
// of a plain service.
#include <iostream>

#include "support/deployment.h"
#include "support/platform_world.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

void print_response(const char* title, const http_response& answer) {
    std::cout << "\n== " << title << "\n"
              << answer.body << "status " << answer.outcome.status << ", verdict "
              << find_header(answer.headers, "X-Run-Verdict") << ", served by "
              << find_header(answer.headers, "X-Served-By") << ", version "
              << find_header(answer.headers, "X-Model-Version").substr(0, 12) << "\n";
}

/// Does the same with gateways and sidecars on a stand-in for the users' platform.
/// @return whether both requests succeeded
bool run_platform_demo() {
    std::cout << "\nstarting two gateways and two sidecars on a stand-in for the users' platform\n";
    platform_world platform;
    if (!platform.start()) {
        std::cerr << "demo: the gateways did not become ready\n";
        return false;
    }
    const http_header authorization{"Authorization",
                                    std::string("Token ") + platform_world::api_key};
    const auto streamed = platform.call(0, "POST", "/draft/1", {authorization});
    const auto booked = platform.call(1, "POST", "/book/berth-7", {authorization});
    std::cout << "addresses for zone-a: " << platform.resolve(0, "zone-a").body << "\n== stream\n"
              << streamed.body << "== booking\n"
              << booked.body << "\n";
    return streamed.outcome.status == 200 && booked.outcome.status == 200;
}

} // namespace

int main() {
    try {
        deployment system(small_deployment_plan());
        std::cout << "starting stand-ins, two entries and three agents on loopback\n";
        system.start();
        const auto entries = system.call(0, "GET", "/v1/entries?zone=zone-a");
        std::cout << "entries for zone-a: " << entries.body;
        const auto streamed = system.call(
            0, "POST", "/v1/completions",
            R"({"model": "pool", "prompt": "a night-shift plan", "max_tokens": 6, "stream": true})");
        print_response("streamed completion", streamed);
        const auto booked = system.call(1, "POST", "/services/desk/bookings", "berth 7",
                                        {{"Idempotency-Key", "demo-1"}});
        print_response("booking at a plain service", booked);
        const bool is_successful = streamed.outcome.is_complete && streamed.outcome.status == 200 &&
                                   booked.outcome.is_complete && booked.outcome.status == 200;
        std::cout << "\nending all processes by pid\n";
        return is_successful && run_platform_demo() ? 0 : 1;
    } catch (const std::exception& exception) {
        std::cerr << "demo: " << exception.what() << "\n";
        return 1;
    }
}
