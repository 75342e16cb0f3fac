// Engines answer streams without a length, and break some of them off between two events.
//
// Usage: case_cut_stream RECORD
#include <cstdio>
#include <map>
#include <thread>

#include "review_world.hh"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::review;

constexpr std::size_t request_count = 120;
constexpr int events_of_answer = 8;
/// A broken stream ends in order after this event.
constexpr int last_event_of_broken = 3;
/// Of 20 answers one is broken off: `x` 0.05 of a garbling engine.
constexpr std::size_t broken_interval = 20;
constexpr const char* key = "key-1";

/// @return value of a field in the head of a request, empty if it is missing
std::string field(const std::string& head, const std::string& name) {
    const auto found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos) {
        return "";
    }
    const auto begin = found + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

int count_events(const std::string& body) {
    int count = 0;
    for (auto found = body.find("id: "); found != std::string::npos;
         found = body.find("id: ", found + 1)) {
        ++count;
    }
    return count;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        return 2;
    }
    record log(argv[1]);
    const std::vector<std::string> zones{"nord-tunis", "sahel-sfax", "sud-gabes"};
    review_world world(log, zones);
    std::atomic<std::size_t> answers{0};
    std::mutex mutex;
    std::map<std::string, int> broken; // last event sent, by attempt id
    std::vector<std::unique_ptr<harness::raw_server>> engines;
    for (const auto& zone : zones) {
        const std::string id = "engine-" + zone;
        engines.push_back(std::make_unique<harness::raw_server>(
            [&, id](const std::string& head) -> harness::raw_answer {
                const std::string attempt = field(head, "X-Citronseam-Attempt-Id");
                if (field(head, "X-Citronseam-Expect-Instance") != id) {
                    return {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
                            harness::raw_ending::keep, "", milliseconds(0)};
                }
                const std::string resumed = field(head, "Last-Event-Id");
                const int first = resumed.empty() ? 1 : std::stoi(resumed) + 1;
                const bool is_broken = has_trouble() && ++answers % broken_interval == 0 &&
                                       first < last_event_of_broken;
                const int last = is_broken ? last_event_of_broken : events_of_answer;
                std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                    "X-Citronseam-Weight-Versions: 1\r\nConnection: close\r\n"
                                    "X-Citronseam-Attempt-Id: ";
                bytes.append(attempt).append("\r\nX-Citronseam-Response-Seal: ");
                bytes.append(id).append(".").append(attempt).append("\r\n\r\n");
                for (int event = first; event <= last; ++event) {
                    bytes.append("id: ").append(std::to_string(event));
                    bytes.append("\ndata: words of ").append(attempt).append("\n\n");
                }
                log.write(id + " answers request " + attempt + " without a length, events " +
                          std::to_string(first) + " to " + std::to_string(last) + " of " +
                          std::to_string(events_of_answer) + (is_broken ? ", and breaks off" : ""));
                if (is_broken) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    broken[attempt] = last;
                }
                return {bytes, harness::raw_ending::close, "", milliseconds(0)};
            }));
        world.put_engine(id, engines.back()->address(), zone);
    }
    world.put_configuration(3, {key});
    if (!world.start()) {
        log.write("the gateways did not get ready");
        return 2;
    }
    const bool is_served = wait_until(
        [&] {
            return world.call(0, "POST", "/draft/0", key, milliseconds(6000), "", "{}")
                       .outcome.status == 200;
        },
        milliseconds(6000));
    if (!is_served) {
        log.write("streams are not served");
        return 2;
    }
    int short_count = 0;
    int whole_count = 0;
    int other_count = 0;
    for (std::size_t i = 0; i < request_count; ++i) {
        const std::string attempt = make_attempt_id();
        const auto answer =
            world.call(i % world.gateway_count(), "POST", "/draft/" + std::to_string(i), key,
                       milliseconds(6000), attempt, "{}");
        const int events = count_events(answer.body);
        const bool is_success = answer.outcome.status == 200 && answer.outcome.is_complete;
        const bool is_short = is_success && events < events_of_answer;
        short_count += is_short ? 1 : 0;
        whole_count += is_success && !is_short ? 1 : 0;
        other_count += is_success ? 0 : 1;
        log.write(std::string(is_short ? "ORDER: " : "") + "request " + attempt + " is answered " +
                  std::to_string(answer.outcome.status) + ", " + std::to_string(events) +
                  " events, " + (answer.outcome.is_complete ? "ended as complete" : "broken off") +
                  ", Transfer-Encoding '" + find_header(answer.headers, "Transfer-Encoding") + "'");
    }
    const std::string result =
        "ORDER: of " + std::to_string(request_count) + " streams, " + std::to_string(short_count) +
        " ended as complete before their last event, " + std::to_string(whole_count) + " whole, " +
        std::to_string(other_count) + " not; engines broke off " + std::to_string(broken.size());
    log.write(result);
    std::printf("%s\n", result.c_str());
    return short_count > 0 ? 1 : 0;
}
