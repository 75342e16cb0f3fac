// UNASKED: clients send X-Citronseam-Prompt-Prefix, a list that is separated by commas, in two field
// lines, which HTTP/1.1 allows for such fields (RFC 9110, section 5.3).
#include "second_world.hh"

using namespace review;

namespace {

constexpr long start_time_ms = 20000;
constexpr int request_count = 60;
constexpr const char* prefix_name = "X-Citronseam-Prompt-Prefix";

/// @return the entries of all field lines of that name, in order
std::vector<std::string> read_list(const header_list& headers) {
    std::vector<std::string> entries;
    for (const auto& [name, value] : headers) {
        if (strcasecmp(name.c_str(), prefix_name) != 0) {
            continue;
        }
        std::stringstream parts(value);
        std::string entry;
        while (std::getline(parts, entry, ',')) {
            const auto first = entry.find_first_not_of(' ');
            const auto last = entry.find_last_not_of(' ');
            if (first != std::string::npos) {
                entries.push_back(entry.substr(first, last - first + 1));
            }
        }
    }
    return entries;
}

std::string join(const std::vector<std::string>& entries) {
    std::string text;
    for (const auto& entry : entries) {
        text += (text.empty() ? "" : ",") + entry;
    }
    return text;
}

int play() {
    // Never destroyed: the threads of the stand-ins use them until the process ends.
    auto& rows = *new store;
    auto& origin = *new weight_origin;
    auto& model = *new engine("i-1");
    deployment world(rows.address());
    rows.put("op", "config", make_configuration(1, origin.address()));
    rows.put("servers", model.id(), model.row(places[0].zone));
    auto& mutex = *new std::mutex;
    auto& arrived = *new std::map<std::string, std::string>; // list by attempt
    model.on_arrival = [&](const http_message& request) {
        const std::lock_guard<std::mutex> lock(mutex);
        arrived[find_header(request.headers, "X-Citronseam-Attempt-Id")] =
            join(read_list(request.headers));
    };
    world.add_gateway(0);
    world.add_sidecar(0, "huvo11a", model.address());
    world.start();
    if (!world.wait_until_ready(start_time_ms)) {
        record.write("the gateway is not ready");
        return verdict::not_run;
    }
    int served = 0;
    int changed = 0;
    for (int i = 0; i < request_count; ++i) {
        const std::string attempt = next_attempt();
        auto headers = client_headers(attempt, 6000);
        headers.emplace_back("X-Citronseam-Model", model_name);
        headers.emplace_back("X-Citronseam-Token-Usage", "1460,48");
        const std::string shared = "5c1e07a2:800,91bd3f06:410";
        const std::string own = "e4402b" + std::to_string(10 + i) + ":250";
        if (has_trouble()) {
            headers.emplace_back(prefix_name, shared);
            headers.emplace_back(prefix_name, own);
        } else {
            headers.emplace_back(prefix_name, shared + "," + own);
        }
        const std::string sent = join(read_list(headers));
        const auto answer =
            fetch(world.gateways[0]->front, make_request("POST", "/draft/plan", headers, "{}"), 7000);
        const bool is_served = answer.message.is_whole && answer.message.status == 200;
        std::string got;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            got = arrived.count(attempt) > 0 ? arrived[attempt] : "(nothing)";
        }
        const bool is_changed = is_served && got != sent;
        served += is_served ? 1 : 0;
        changed += is_changed ? 1 : 0;
        record.write("client: " + attempt + " sends " + sent + " and gets " +
                     std::to_string(answer.message.status) + "; the engine ran it with " + got +
                     (is_changed ? " WHICH IS NOT THE CLIENT'S" : ""));
    }
    if (served < request_count / 2) {
        record.write("too little was served");
        return verdict::not_run;
    }
    record.write(changed > 0 ? "UNASKED is broken: " + std::to_string(changed) + " of " +
                                   std::to_string(served) + " requests"
                             : "UNASKED held");
    return changed > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int, char** arguments) {
    record.open(arguments[1]);
    const int result = play();
    ::_exit(result); // the threads of the stand-ins still run
}
