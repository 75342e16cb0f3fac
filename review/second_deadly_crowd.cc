// BUDGET: a request that crashes the servers that run it comes from several callers at the same
// moment, at different gateways.
#include "second_world.hh"

using namespace review;

namespace {

constexpr long start_time_ms = 20000;
constexpr long contact_ms = 3000;
constexpr long crash_delay_ms = 100; ///< from the beginning of the run
constexpr long restart_time_ms = 2500;
constexpr long wave_interval_ms = 4500;
constexpr int wave_count = 3;
constexpr long max_retries = 3;
constexpr std::size_t server_count = 3;
constexpr const char* deadly_target = "/book/plan/7";

struct arrivals {
    std::mutex mutex;
    std::vector<long> crashes; ///< times
    std::vector<long> deadly;  ///< times at which the request reached a server
    int served{0};
};

/// One incarnation of a plain server. A certain request crashes it: its connections are reset, and it
/// comes back under another id and address.
class incarnation {
public:
    incarnation(store& rows, arrivals& seen, std::string zone, std::string name, int life)
        : rows_(rows), seen_(seen), zone_(std::move(zone)), name_(std::move(name)), life_(life),
          server_(name_ + "-" + std::to_string(life)) {
        server_.on_run = [this](const http_message& request, stream_socket& socket) {
            return run(request, socket);
        };
        rows_.put("servers", server_.id(), server_.row(zone_));
        record.write("server " + server_.id() + ": starts");
    }

private:
    bool run(const http_message& request, stream_socket& socket) {
        if (is_crashed_) {
            socket.reset();
            return false;
        }
        if (request.target != deadly_target) {
            sleep_ms(10);
            if (is_crashed_) {
                socket.reset();
                return false;
            }
            const std::lock_guard<std::mutex> lock(seen_.mutex);
            ++seen_.served;
            return socket.send(server_.answer_to(request));
        }
        {
            const std::lock_guard<std::mutex> lock(seen_.mutex);
            seen_.deadly.push_back(elapsed_ms());
        }
        record.write("server " + server_.id() + ": the deadly request reaches it");
        sleep_ms(crash_delay_ms);
        crash();
        socket.reset();
        return false;
    }

    void crash() {
        if (is_crashed_.exchange(true)) {
            return;
        }
        record.write("server " + server_.id() + ": crashes");
        {
            const std::lock_guard<std::mutex> lock(seen_.mutex);
            seen_.crashes.push_back(elapsed_ms());
        }
        server_.stop();
        std::thread([this] {
            sleep_ms(restart_time_ms);
            rows_.remove("servers", server_.id());
            new incarnation(rows_, seen_, zone_, name_, life_ + 1); // never destroyed
        }).detach();
    }

    store& rows_;
    arrivals& seen_;
    const std::string zone_;
    const std::string name_;
    const int life_;
    desk server_;
    std::atomic<bool> is_crashed_{false};
};

void send_deadly(const node& gateway) {
    const std::string attempt = next_attempt();
    const auto answer = fetch(gateway.front,
                              make_request("POST", deadly_target, client_headers(attempt, 1500), "{}"),
                              2500);
    record.write("client: " + attempt + " (deadly) at " + gateway.name + " gets " +
                 std::to_string(answer.message.status));
}

int play() {
    // Never destroyed: the threads of the stand-ins use them until the process ends.
    auto& rows = *new store;
    auto& origin = *new weight_origin;
    auto& seen = *new arrivals;
    deployment world(rows.address());
    rows.put("op", "config", make_configuration(1, origin.address()));
    for (std::size_t i = 0; i < server_count; ++i) {
        const std::string zone = places[i % places.size()].zone;
        new incarnation(rows, seen, zone, "i-desk-" + zone, 1); // never destroyed
    }
    for (const std::size_t zone : {0U, 0U, 0U, 1U, 1U, 2U, 2U}) {
        world.add_gateway(zone);
    }
    world.start();
    if (!world.wait_until_ready(start_time_ms)) {
        record.write("the gateways are not ready");
        return verdict::not_run;
    }
    sleep_ms(2000);
    std::atomic<bool> is_over{false};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < world.gateways.size(); ++i) {
        clients.emplace_back([&, i] {
            while (!is_over) {
                fetch(world.gateways[i]->front,
                      make_request("GET", "/look/usual", client_headers(next_attempt(), 1500), ""),
                      2500);
                sleep_ms(100);
            }
        });
    }
    const int waves = has_trouble() ? wave_count : 2; // without it each takes 21 s
    for (int wave = 0; wave < waves; ++wave) {
        const auto began = clock_type::now();
        std::vector<std::thread> callers;
        for (auto& gateway : world.gateways) {
            if (has_trouble()) {
                callers.emplace_back([&] { send_deadly(*gateway); });
            } else {
                send_deadly(*gateway);
                sleep_ms(restart_time_ms + 500);
            }
        }
        for (auto& caller : callers) {
            caller.join();
        }
        std::this_thread::sleep_until(began + milliseconds(wave_interval_ms));
    }
    is_over = true;
    for (auto& client : clients) {
        client.join();
    }
    const std::lock_guard<std::mutex> lock(seen.mutex);
    record.write("the request reached servers " + std::to_string(seen.deadly.size()) +
                 " times, " + std::to_string(seen.crashes.size()) + " crashes, " +
                 std::to_string(seen.served) + " other requests served");
    if (seen.crashes.size() < 3 || seen.served < 100) {
        record.write("too few crashes, or too little was served");
        return verdict::not_run;
    }
    const long third = seen.crashes[2];
    const auto late = std::count_if(seen.deadly.begin(), seen.deadly.end(),
                                    [&](long at) { return at > third + contact_ms; });
    record.write(std::string(late > max_retries ? "BUDGET is broken" : "BUDGET held") + ": " +
                 std::to_string(late) + " retries later than " + std::to_string(contact_ms) +
                 " ms after the third crash, " + std::to_string(max_retries) + " are allowed");
    return late > max_retries ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** arguments) {
    record.open(arguments[1]);
    const int result = play();
    ::_exit(result); // the threads of the stand-ins still run
}
