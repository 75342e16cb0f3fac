// WHOLE: the origin of weights answers one call for the digests with one digest less than there are
// pieces, which the page allows ("it may be corrupted or cut off").
#include "second_world.hh"

using namespace review;

namespace {

constexpr long start_time_ms = 20000;
constexpr long traffic_time_ms = 26000; ///< after the new version is named

int play() {
    // Never destroyed: the threads of the stand-ins use them until the process ends.
    auto& rows = *new store;
    auto& origin = *new weight_origin;
    auto& engines = *new std::vector<std::unique_ptr<engine>>;
    deployment world(rows.address());
    rows.put("op", "config", make_configuration(1, origin.address()));
    for (std::size_t zone = 0; zone < places.size(); ++zone) {
        engines.push_back(std::make_unique<engine>("i-" + places[zone].zone));
        rows.put("servers", engines.back()->id(), engines.back()->row(places[zone].zone));
        world.add_gateway(zone);
        world.add_sidecar(zone, "huvo11a", engines.back()->address());
    }
    std::atomic<bool> is_spoilt{false};
    if (has_trouble()) {
        origin.spoil = [&](int, json& list) {
            if (list["version"] == 2 && !is_spoilt.exchange(true)) {
                list["digests"].erase(piece_count - 1);
            }
        };
    }
    world.start();
    if (!world.wait_until_ready(start_time_ms)) {
        record.write("the gateways are not ready");
        return verdict::not_run;
    }
    sleep_ms(3000);
    record.write("operator: names version 2");
    rows.put("op", std::string("version/") + model_name, {{"model", model_name}, {"version", 2}});
    const auto named_at = clock_type::now();
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 2 * places.size(); ++i) {
        clients.emplace_back([&, i] {
            while (clock_type::now() - named_at < milliseconds(traffic_time_ms)) {
                const std::string attempt = next_attempt();
                auto headers = client_headers(attempt, 6000);
                headers.emplace_back("X-Citronseam-Model", model_name);
                headers.emplace_back("X-Citronseam-Token-Usage", "40,48");
                const auto answer =
                    fetch(world.gateways[i % places.size()]->front,
                          make_request("POST", "/draft/plan", headers, "{}"), 7000);
                served += answer.message.is_whole && answer.message.status == 200 ? 1 : 0;
                record.write("client: " + attempt + " gets " +
                             std::to_string(answer.message.status) +
                             (answer.message.is_whole ? "" : ", not whole"));
                sleep_ms(150);
            }
        });
    }
    std::size_t listed = 0;
    while (clock_type::now() - named_at < milliseconds(traffic_time_ms)) {
        sleep_ms(1200);
        for (std::size_t zone = 0; zone < engines.size(); ++zone) {
            rows.put("servers", engines[zone]->id(), engines[zone]->row(places[zone].zone));
        }
        ++listed;
    }
    for (auto& client : clients) {
        client.join();
    }
    int wrong = 0;
    int streams = 0;
    for (auto& each : engines) {
        record.write("engine " + each->id() + ": holds version " +
                     std::to_string(each->version()) + ", " + std::to_string(each->streams) +
                     " streams, " + std::to_string(each->wrong_streams) + " with a wrong piece");
        wrong += each->wrong_streams;
        streams += each->streams;
    }
    if (served < 50 || (has_trouble() && !is_spoilt)) {
        record.write("too little was served, or no list was spoilt");
        return verdict::not_run;
    }
    record.write(wrong > 0 ? "WHOLE is broken: " + std::to_string(wrong) + " of " +
                                 std::to_string(streams) + " streams"
                           : "WHOLE held");
    return wrong > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** arguments) {
    record.open(arguments[1]);
    const int result = play();
    ::_exit(result); // the threads of the stand-ins still run
}
