#include "support/platform_world.h"

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <asio.hpp>

#include "citronseam/version/sha256.h"

namespace citronseam::harness {
namespace {

using nlohmann::json;

constexpr const char* model = "model-1";
constexpr milliseconds feed_poll{20};
constexpr milliseconds event_gap{30};
constexpr milliseconds load_time{200};

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// Ports that no other test process takes. They lie below the range from which the system gives
/// ports to connections. The first port of the block is listened on for as long as this process
/// lives, which keeps other processes away from the rest.
class port_block {
public:
    port_block() : keeper_(context_) {
        for (std::uint32_t step = 0; step < block_count; ++step) {
            first_ =
                first_port + (static_cast<std::uint32_t>(getpid()) + step) % block_count * size;
            if (try_bind(keeper_, first_)) {
                keeper_.listen();
                return;
            }
        }
        throw std::runtime_error("no block of ports is free");
    }

    /// @return a port that nobody listens on
    std::uint16_t next() {
        while (true) {
            used_ = used_ % (size - 1) + 1;
            asio::ip::tcp::acceptor acceptor(context_);
            if (try_bind(acceptor, first_ + used_)) {
                return static_cast<std::uint16_t>(first_ + used_);
            }
        }
    }

private:
    static constexpr std::uint32_t first_port = 12000;
    static constexpr std::uint32_t size = 400;
    static constexpr std::uint32_t block_count = 50;

    static bool try_bind(asio::ip::tcp::acceptor& acceptor, std::uint32_t port) {
        asio::error_code problem;
        acceptor.close(problem);
        acceptor.open(asio::ip::tcp::v4(), problem);
        acceptor.bind({asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)},
                      problem);
        return !problem;
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor keeper_;
    std::uint32_t first_{0};
    std::uint32_t used_{0};
};

std::uint16_t free_port() {
    static port_block block;
    return block.next();
}

constexpr std::string_view base64_letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(const std::string& bytes) {
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= count ? base64_letters[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

std::string decode(const std::string& text) {
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const auto value = base64_letters.find(letter);
        if (value == std::string_view::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return bytes;
}

std::uint64_t number(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

void send_json(http_responder& responder, int status, const json& body) {
    responder.respond(status, {{"Content-Type", "application/json"}}, body.dump());
}

std::unique_ptr<http_server> serve(request_handler handler) {
    return std::make_unique<http_server>(server_options{{"127.0.0.1", 0}, 1, mebibyte},
                                         std::move(handler));
}

} // namespace

row_store::row_store()
    : server_(serve(
          [this](const server_request& request, const std::shared_ptr<http_responder>& responder) {
              handle(request, responder);
          })) {}

std::string row_store::address() const {
    return local(server_->port());
}

void row_store::put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {value, ++version_, false};
}

void row_store::remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {"", ++version_, true};
}

json row_store::list(const std::string& table, std::uint64_t after, bool with_removed) const {
    json records = json::array();
    const auto found = tables_.find(table);
    if (found != tables_.end()) {
        for (const auto& [key, row] : found->second) {
            if (row.version <= after || (row.is_removed && !with_removed)) {
                continue;
            }
            json record = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
            if (row.is_removed) {
                record["tombstone"] = true;
            } else {
                record["value"] = encode(row.value);
            }
            records.push_back(std::move(record));
        }
    }
    return {{"records", records}, {"has_more", false}, {"ver", version_}, {"server_time_ms", 1}};
}

void row_store::write(const json& body) {
    for (const auto& row : body.at("set_keys")) {
        put(row.at("table"), row.at("key"), decode(row.at("value")));
    }
}

void row_store::answer_feed(const std::string& table, std::uint64_t after, int polls_left,
                            const std::shared_ptr<http_responder>& responder) {
    json found;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        found = list(table, after, true);
    }
    if (!found.at("records").empty() || polls_left == 0) {
        send_json(*responder, 200, found);
        return;
    }
    timers_.post_after(feed_poll, [this, table, after, polls_left, responder] {
        answer_feed(table, after, polls_left - 1, responder);
    });
}

void row_store::handle(const server_request& request,
                       const std::shared_ptr<http_responder>& responder) {
    ++calls;
    const std::string table = query_parameter(request, "table");
    if (is_down) {
        responder->respond(503, {}, "");
    } else if (request.path == "/rows-get") {
        const std::lock_guard<std::mutex> lock(mutex_);
        send_json(*responder, 200, list(table, 0, false));
    } else if (request.path == "/rows-feed" && !has_history) {
        responder->respond(410, {}, "");
    } else if (request.path == "/rows-feed") {
        const auto polls = number(query_parameter(request, "wait_timeout_ms")) /
                           static_cast<std::uint64_t>(feed_poll.count());
        answer_feed(table, number(query_parameter(request, "after")), static_cast<int>(polls),
                    responder);
    } else if (request.path == "/rows-tx") {
        write(json::parse(request.body));
        if (lost_writes > 0) {
            --lost_writes;
            responder->abort();
        } else {
            send_json(*responder, 200, {{"ver", version_}, {"server_time_ms", 1}});
        }
    } else {
        responder->respond(404, {}, "");
    }
}

weight_origin::weight_origin()
    : server_(serve(
          [this](const server_request& request, const std::shared_ptr<http_responder>& responder) {
              handle(request, *responder);
          })) {}

std::string weight_origin::address() const {
    return local(server_->port());
}

std::string weight_origin::piece(std::uint64_t version, std::size_t index) {
    // All pieces have the same size.
    constexpr std::size_t piece_size = 1024;
    std::string content = std::to_string(version) + ":" + std::to_string(index) + ":";
    content.resize(piece_size, static_cast<char>('a' + (version + index) % 26));
    return content;
}

void weight_origin::handle(const server_request& request, http_responder& responder) {
    const std::uint64_t version = number(query_parameter(request, "version"));
    if (is_down) {
        responder.abort();
    } else if (request.path == std::string("/manifest/") + model) {
        json digests = json::array();
        for (std::size_t i = 0; i < piece_count; ++i) {
            digests.push_back(sha256_hex(piece(version, i)));
        }
        send_json(responder, 200,
                  {{"model", model},
                   {"version", version},
                   {"chunk_bytes", piece(version, 0).size()},
                   {"layers", 1},
                   {"digests", digests}});
    } else {
        ++pieces_sent;
        responder.respond(200, {},
                          piece(version, number(query_parameter(request, "sample_count"))));
    }
}

platform_server::platform_server(std::string id, bool is_engine)
    : id_(std::move(id)), is_engine_(is_engine),
      server_(serve(
          [this](const server_request& request, const std::shared_ptr<http_responder>& responder) {
              handle(request, responder);
          })) {
    for (std::size_t i = 0; is_engine && i < weight_origin::piece_count; ++i) {
        staged_[i] = weight_origin::piece(1, i);
    }
}

std::string platform_server::address() const {
    return local(server_->port());
}

std::uint64_t platform_server::version() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return version_;
}

std::map<std::string, int> platform_server::runs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
}

std::vector<http_header> platform_server::last_headers() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return last_headers_;
}

void platform_server::handle(const server_request& request,
                             const std::shared_ptr<http_responder>& responder) {
    if (handle_control(request, *responder)) {
        return;
    }
    const std::string expected = find_header(request.headers, "X-Citronseam-Expect-Instance");
    if (!expected.empty() && expected != id_) {
        responder->respond(421, {{"X-Citronseam-Instance-Id", id_}}, "");
    } else if (is_full) {
        responder->respond(503, {{"X-Citronseam-Not-Executed", "1"}}, "");
    } else {
        run(request, responder);
    }
}

bool platform_server::handle_control(const server_request& request, http_responder& responder) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto piece = number(query_parameter(request, "sample_count"));
    if (request.path == "/report") {
        send_json(responder, 200,
                  {{"stage", "colocated"},
                   {"models", json::array({{{"name", model}, {"version", version_}}})},
                   {"layers", json::array({{{"from", 0}, {"target", 1}, {"version", version_}}})},
                   {"busy", false},
                   {"sequence", orders_},
                   {"num_waiting", 0},
                   {"num_running", 0},
                   {"born", 1}});
    } else if (request.path == "/order") {
        take_order(json::parse(request.body), responder);
    } else if (request.path == std::string("/stage-put/") + model) {
        staged_[piece] = request.body;
        responder.respond(200, {}, "");
    } else if (request.path == std::string("/stage-get/") + model) {
        const auto found = staged_.find(piece);
        responder.respond(found == staged_.end() ? 404 : 200, {},
                          found == staged_.end() ? "" : found->second);
    } else {
        return false;
    }
    return true;
}

void platform_server::take_order(const json& order, http_responder& responder) {
    const auto version = order.at("version").get<std::uint64_t>();
    bool is_whole = true;
    for (std::size_t i = 0; i < weight_origin::piece_count; ++i) {
        is_whole = is_whole && staged_[i] == weight_origin::piece(version, i);
    }
    const bool fits = order.at("expected_revision").get<std::uint64_t>() == orders_ && is_whole;
    if (!fits) {
        responder.respond(409, {}, "");
        return;
    }
    ++orders_;
    timers_.post_after(load_time, [this, version] {
        const std::lock_guard<std::mutex> lock(mutex_);
        version_ = version;
    });
    responder.respond(202, {}, "");
}

std::vector<http_header> platform_server::answer_headers(const server_request& request) const {
    return {{"X-Citronseam-Attempt-Id", find_header(request.headers, "X-Citronseam-Attempt-Id")},
            {"X-Citronseam-Response-Seal", "seal-of-" + id_},
            {"X-Citronseam-Weight-Versions", std::to_string(version())}};
}

void platform_server::run(const server_request& request,
                          const std::shared_ptr<http_responder>& responder) {
    const auto headers = answer_headers(request);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++runs_[find_header(request.headers, "X-Citronseam-Attempt-Id")];
        last_headers_ = request.headers;
    }
    if (lost_answers > 0) {
        --lost_answers;
        responder->abort();
    } else if (!is_engine_) {
        responder->respond(200, headers, "booked " + request.target);
    } else {
        const std::string last = find_header(request.headers, "Last-Event-Id");
        const int first = last.empty() ? 1 : static_cast<int>(number(last)) + 1;
        responder->begin(200, headers);
        const bool is_cut = cut_streams > 0;
        cut_streams -= is_cut ? 1 : 0;
        send_event(first, is_cut ? first + 2 : event_count, is_cut, responder);
    }
}

void platform_server::send_event(int event, int last, bool is_cut,
                                 const std::shared_ptr<http_responder>& responder) {
    responder->write("id: " + std::to_string(event) + "\ndata: " + id_ + "\n\n");
    if (event < last) {
        timers_.post_after(event_gap, [this, event, last, is_cut, responder] {
            send_event(event + 1, last, is_cut, responder);
        });
    } else if (is_cut) {
        responder->write("id: 99\nda");
        responder->abort();
    } else {
        responder->finish();
    }
}

platform_world::platform_world()
    : folder_(std::filesystem::temp_directory_path() /
              ("citronseam-platform-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
    for (const std::string zone : {"zone-a", "zone-b"}) {
        engines.push_back(std::make_unique<platform_server>("engine-" + zone, true));
        desks.push_back(std::make_unique<platform_server>("desk-" + zone, false));
        ports_.push_back({free_port(), free_port(), free_port(), free_port(), free_port()});
        sidecar_ports_.push_back(free_port());
        list_server(*engines.back(), "drafts", zone);
        list_server(*desks.back(), "desk", zone);
    }
    configure(1);
}

platform_world::~platform_world() {
    gateways_.clear();
    sidecars_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void platform_world::list_server(const platform_server& server, const std::string& service,
                                 const std::string& zone, const std::string& state) {
    json entry = {{"service", service}, {"address", server.address()},
                  {"zone", zone},       {"version", "v1"},
                  {"slots", 4},         {"state", state},
                  {"cold_ms", 0},       {"sequence", 1}};
    if (service == "drafts") {
        entry["layers"] =
            json::array({{{"from", 0}, {"target", 1}, {"version", server.version()}}});
    }
    store.put("servers", server.id(), entry.dump());
}

void platform_world::configure(std::uint64_t version, bool has_second_route) {
    json routes = json::array({{{"name", "draft"},
                                {"host", "a.example"},
                                {"prefix", "/draft/"},
                                {"type", "streaming"},
                                {"resumable", true},
                                {"timeout_ms", 6000},
                                {"slo_ms", 400},
                                {"gap_slo_ms", 300},
                                {"priority", 1},
                                {"service", "drafts"},
                                {"max_attempts", 2}},
                               {{"name", "book"},
                                {"host", "a.example"},
                                {"prefix", "/book/"},
                                {"type", "non_idempotent"},
                                {"timeout_ms", 800},
                                {"slo_ms", 100},
                                {"priority", 2},
                                {"service", "desk"},
                                {"max_attempts", 1}}});
    if (has_second_route) {
        json added = routes[1];
        added["prefix"] = "/later/";
        added["name"] = "later";
        routes.push_back(added);
    }
    const json engine = {{"slots", 4},
                         {"step_ms", 7.4},
                         {"per_seq_ms", 0.04},
                         {"read_per_s", 31900},
                         {"layers", 1},
                         {"chunks", weight_origin::piece_count},
                         {"usual", {{"prompt", 100}, {"answer", 20}}},
                         {"models", json::array({{{"name", model}, {"warm_s", 0.2}}})}};
    const json services =
        json::array({{{"name", "drafts"}, {"cold_s", 1.0}, {"cold_per_s", 0.0}, {"engine", engine}},
                     {{"name", "desk"}},
                     {{"name", "ledger"}, {"origin", origin.address()}, {"zone", "zone-a"}}});
    store.put(
        "op", "config",
        json{{"version", version},
             {"routes", routes},
             {"services", services},
             {"tenants", json::array({{{"name", "team"}, {"api_keys", {key}}, {"priority", 1}}})}}
            .dump());
}

void platform_world::name_weights(std::uint64_t version) {
    store.put("op", std::string("version/") + model,
              json{{"model", model}, {"version", version}}.dump());
}

std::string platform_world::gateway_settings(std::size_t index) const {
    const ports& own = ports_[index];
    const std::string zone = index == 0 ? "zone-a" : "zone-b";
    return "role: gateway\ninstance: gateway-" + std::to_string(index) +
           "\navailability_zone: " + zone + "\nregion: region-a\nstore: " + store.address() +
           "\nzones:\n  - name: zone-a\n    region: region-a\n  - name: zone-b\n    region: "
           "region-a"
           "\nbounds:\n  weights_due: 5s\n  grace_period: 4s\nlisten:\n  http: " +
           local(own.http) + "\n  readiness: " + local(own.readiness) +
           "\n  directory: " + local(own.directory) + "\n  peer: " + local(own.peer) +
           "\n  operator: " + local(own.metrics) + "\n";
}

std::string platform_world::sidecar_settings(std::size_t index) const {
    const std::string zone = index == 0 ? "zone-a" : "zone-b";
    return "role: sidecar\ninstance: sidecar-" + std::to_string(index) +
           "\navailability_zone: " + zone + "\nregion: region-a\nstore: " + store.address() +
           "\nbounds:\n  weights_due: 5s\nbackend_server:\n  service: drafts\n  address: " +
           engines[index]->address() + "\nlisten:\n  peer: " + local(sidecar_ports_[index]) +
           "\n  operator: " + local(free_port()) + "\n";
}

std::string platform_world::write_file(const std::string& name, const std::string& content) {
    std::string path = folder_ + "/" + name;
    std::ofstream(path) << content;
    return path;
}

bool platform_world::start() {
    const std::string daemon = std::string(CITRONSEAM_BIN_DIR) + "/citronseamd";
    for (std::size_t i = 0; i < ports_.size(); ++i) {
        const std::string number = std::to_string(i);
        gateways_.push_back(std::make_unique<child_process>(std::vector<std::string>{
            daemon, "--settings", write_file("gateway-" + number + ".yaml", gateway_settings(i))}));
        sidecars_.push_back(std::make_unique<child_process>(std::vector<std::string>{
            daemon, "--settings", write_file("sidecar-" + number + ".yaml", sidecar_settings(i))}));
    }
    return wait_until([this] { return readiness(0) == 200 && readiness(1) == 200; },
                      milliseconds(10000));
}

http_answer platform_world::ask(http_request request) {
    return fetch_and_wait(client_, std::move(request), mebibyte);
}

http_answer platform_world::call(std::size_t gateway, const std::string& method,
                                 const std::string& path, std::vector<http_header> headers) {
    http_request request;
    request.method = method;
    request.url = "http://" + local(ports_[gateway].http) + path;
    headers.push_back({"Host", "a.example"});
    headers.push_back({"X-Citronseam-Attempt-Id", "attempt-" + std::to_string(++attempts_)});
    headers.push_back({"X-Citronseam-Deadline-Ms", "4000"});
    request.headers = std::move(headers);
    return ask(std::move(request));
}

http_answer platform_world::resolve(std::size_t gateway, const std::string& zone) {
    http_request request;
    request.url = "http://" + local(ports_[gateway].directory) +
                  "/resolve?name=a.example&region=region-a&zone=" + zone;
    return ask(std::move(request));
}

int platform_world::readiness(std::size_t gateway) {
    http_request request;
    request.url = "http://" + local(ports_[gateway].readiness) + "/readyz";
    return ask(std::move(request)).outcome.status;
}

} // namespace citronseam::harness
