// VERSION: an engine turns slow shortly before named weights are due. It is one that goes on with a
// request whose connection was closed.
#include "second_world.hh"

using namespace review;

namespace {

constexpr long start_time_ms = 20000;
constexpr long version_ms = 8000;
constexpr long origin_down_ms = 6000;  ///< from just before the version is named
constexpr long slow_from_ms = 6700;    ///< after the version is named
constexpr long slow_for_ms = 5000;
constexpr long usual_wait_ms = 350;    ///< from the arrival of a request to its first token
constexpr long slow_factor = 4;
constexpr long play_time_ms = 12000;
constexpr std::size_t engines_per_zone = 3;
constexpr int callers_per_gateway = 14;

int play() {
    // Never destroyed: the threads of the stand-ins use them until the process ends.
    auto& rows = *new store;
    auto& origin = *new weight_origin;
    auto& engines = *new std::vector<std::unique_ptr<engine>>;
    deployment world(rows.address());
    rows.put("op", "config", make_configuration(1, origin.address()));
    for (std::size_t zone = 0; zone < places.size(); ++zone) {
        world.add_gateway(zone);
        for (std::size_t i = 0; i < engines_per_zone; ++i) {
            engines.push_back(std::make_unique<engine>("i-" + places[zone].zone + "-" +
                                                       std::to_string(i + 1)));
            engines.back()->wait_ms = usual_wait_ms;
            rows.put("servers", engines.back()->id(), engines.back()->row(places[zone].zone));
            world.add_sidecar(zone, "huvo11a", engines.back()->address());
        }
    }
    engine& odd = *engines[0];
    odd.keeps_cancelled = true; // "Most engines drop a request when its connection closes."
    world.start();
    if (!world.wait_until_ready(start_time_ms)) {
        record.write("the gateways are not ready");
        return verdict::not_run;
    }
    sleep_ms(3500);
    std::atomic<bool> is_over{false};
    std::atomic<int> served{0};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callers_per_gateway * places.size(); ++i) {
        callers.emplace_back([&, i] {
            while (!is_over) {
                const std::string attempt = next_attempt();
                auto headers = client_headers(attempt, 6000);
                headers.emplace_back("X-Citronseam-Model", model_name);
                headers.emplace_back("X-Citronseam-Token-Usage", "40,48");
                const auto answer =
                    fetch(world.gateways[i % places.size()]->front,
                          make_request("POST", "/draft/plan", headers, "{}"), 7000);
                served += answer.message.is_whole && answer.message.status == 200 ? 1 : 0;
                record.write("client: " + attempt + " gets " +
                             std::to_string(answer.message.status));
                sleep_ms(40);
            }
        });
    }
    std::thread heart([&] {
        while (!is_over) {
            sleep_ms(1200);
            for (std::size_t i = 0; i < engines.size(); ++i) {
                rows.put("servers", engines[i]->id(),
                         engines[i]->row(places[i / engines_per_zone].zone));
            }
        }
    });
    sleep_ms(1000);
    if (has_trouble()) {
        record.write("origin: is down");
        origin.is_down = true;
    }
    rows.put("op", std::string("version/") + model_name, {{"model", model_name}, {"version", 2}});
    const auto named_at = clock_type::now();
    const long named_ms = elapsed_ms();
    record.write("store: acknowledges version 2");
    std::this_thread::sleep_until(named_at + milliseconds(origin_down_ms));
    origin.is_down = false;
    record.write("origin: is up");
    std::this_thread::sleep_until(named_at + milliseconds(slow_from_ms));
    if (has_trouble()) {
        record.write("engine " + odd.id() + ": turns slow");
        odd.wait_ms = usual_wait_ms * slow_factor;
    }
    std::this_thread::sleep_until(named_at + milliseconds(slow_from_ms + slow_for_ms));
    odd.wait_ms = usual_wait_ms;
    std::this_thread::sleep_until(named_at + milliseconds(play_time_ms));
    is_over = true;
    heart.join();
    for (auto& caller : callers) {
        caller.join();
    }
    int late = 0;
    long latest = 0;
    for (auto& each : engines) {
        for (const auto& [begun, version] : each->begun()) {
            if (version < 2 && begun - named_ms > version_ms) {
                ++late;
                latest = std::max(latest, begun - named_ms);
                record.write("engine " + each->id() + ": a request began on version " +
                             std::to_string(version) + ", " + std::to_string(begun - named_ms) +
                             " ms after the acknowledgement");
            }
        }
    }
    if (served < 50) {
        record.write("too little was served");
        return verdict::not_run;
    }
    record.write(late > 0 ? "VERSION is broken: " + std::to_string(late) +
                                " requests began late on version 1, the last one after " +
                                std::to_string(latest) + " ms; " + std::to_string(version_ms) +
                                " are allowed"
                          : "VERSION held");
    return late > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** arguments) {
    record.open(arguments[1]);
    const int result = play();
    ::_exit(result); // the threads of the stand-ins still run
}
