// Stand-ins for the users' platform, and the start of the project's own programs, for the cases of
// the second review. Everything listens on 127.0.0.1. The stand-ins behave as PROTOCOL.md says.
#ifndef CITRONSEAM_REVIEW_SECOND_WORLD_HH
#define CITRONSEAM_REVIEW_SECOND_WORLD_HH

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/sha.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock_type::time_point began_at = clock_type::now();

inline long elapsed_ms() {
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - began_at).count();
}

inline void sleep_ms(long time) {
    std::this_thread::sleep_for(milliseconds(time));
}

/// What was sent, answered and run, one line each.
class record_file {
public:
    void open(const std::string& path) { file_.open(path, std::ios::trunc); }
    void write(const std::string& line) {
        const std::lock_guard<std::mutex> lock(mutex_);
        file_ << elapsed_ms() << " " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};
inline record_file record;

using header_list = std::vector<std::pair<std::string, std::string>>;

inline std::string find_header(const header_list& headers, const std::string& name) {
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

struct http_message {
    std::string start_line; ///< of a response
    std::string method;
    std::string target;
    int status{0};
    header_list headers;
    std::string body;
    bool is_whole{false};
};

inline std::string query_value(const std::string& target, const std::string& name) {
    const auto start = target.find('?');
    if (start == std::string::npos) {
        return {};
    }
    std::stringstream parts(target.substr(start + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            std::string text = part.substr(name.size() + 1);
            std::string decoded;
            for (std::size_t i = 0; i < text.size(); ++i) {
                if (text[i] == '%' && i + 2 < text.size()) {
                    decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    decoded += text[i];
                }
            }
            return decoded;
        }
    }
    return {};
}

inline long number_of(const std::string& text, long otherwise = 0) {
    return text.empty() ? otherwise : std::strtol(text.c_str(), nullptr, 10);
}

/// A connected socket with buffered reading.
class stream_socket {
public:
    explicit stream_socket(int descriptor) : descriptor_(descriptor) {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~stream_socket() { close(); }
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size =
                ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// @return whether more bytes came; false at the end of the connection or the timeout
    bool receive(long timeout_ms) {
        pollfd waited{descriptor_, POLLIN, 0};
        if (::poll(&waited, 1, static_cast<int>(timeout_ms)) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto size = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            is_ended_ = true;
            is_reset_ = size < 0;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    bool is_ended() const { return is_ended_; }
    bool is_reset() const { return is_reset_; }
    /// @return whether the peer has closed its side
    bool has_peer_left() {
        char byte = 0;
        const auto size = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    void close() {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }
    void reset() {
        const linger option{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }
    int descriptor() const { return descriptor_; }

    std::string buffer; ///< received and not used yet

private:
    int descriptor_;
    bool is_ended_{false};
    bool is_reset_{false};
};

inline bool read_until(stream_socket& socket, const std::string& mark, std::size_t& found,
                       clock_type::time_point deadline) {
    while ((found = socket.buffer.find(mark)) == std::string::npos) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - clock_type::now()).count();
        if (left <= 0 || !socket.receive(left)) {
            return false;
        }
    }
    return true;
}

inline bool read_bytes(stream_socket& socket, std::size_t size, clock_type::time_point deadline) {
    while (socket.buffer.size() < size) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - clock_type::now()).count();
        if (left <= 0 || !socket.receive(left)) {
            return false;
        }
    }
    return true;
}

/// Reads a request or a response. What arrived of a body that is cut off is kept.
inline http_message read_message(stream_socket& socket, bool is_response, long timeout_ms) {
    const auto deadline = clock_type::now() + milliseconds(timeout_ms);
    http_message message;
    std::size_t end = 0;
    if (!read_until(socket, "\r\n\r\n", end, deadline)) {
        return message;
    }
    std::stringstream lines(socket.buffer.substr(0, end));
    socket.buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    line = line.substr(0, line.find('\r'));
    message.start_line = line;
    std::stringstream words(line);
    if (is_response) {
        std::string version;
        words >> version >> message.status;
    } else {
        words >> message.method >> message.target;
    }
    while (std::getline(lines, line)) {
        line = line.substr(0, line.find('\r'));
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
        }
    }
    const std::string length = find_header(message.headers, "Content-Length");
    if (!find_header(message.headers, "Transfer-Encoding").empty()) {
        while (true) {
            if (!read_until(socket, "\r\n", end, deadline)) {
                return message;
            }
            const auto size = std::stoul(socket.buffer.substr(0, end), nullptr, 16);
            if (!read_bytes(socket, end + 2 + size + 2, deadline)) {
                message.body += socket.buffer.substr(std::min(end + 2, socket.buffer.size()));
                return message;
            }
            message.body += socket.buffer.substr(end + 2, size);
            socket.buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                break;
            }
        }
    } else if (!length.empty()) {
        const auto size = std::stoul(length);
        const bool is_read = read_bytes(socket, size, deadline);
        message.body = socket.buffer.substr(0, size);
        socket.buffer.erase(0, size);
        if (!is_read) {
            return message;
        }
    } else if (is_response) {
        while (clock_type::now() < deadline && socket.receive(100000)) {
        }
        message.body = std::exchange(socket.buffer, {});
        message.is_whole = socket.is_ended() && !socket.is_reset();
        return message;
    }
    message.is_whole = true;
    return message;
}

inline std::string make_response(int status, const header_list& headers, const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string make_json_response(int status, const json& body) {
    return make_response(status, {{"Content-Type", "application/json"}}, body.dump());
}

/// Listens on a free port, one thread for each connection. A handler returns whether the
/// connection is kept.
class http_listener {
public:
    using handler = std::function<bool(const http_message&, stream_socket&)>;

    explicit http_listener(handler handle) : handle_(std::move(handle)) {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        ::listen(listener_, 512);
        socklen_t size = sizeof(address);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] {
            while (true) {
                const int accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0 || is_stopped_) {
                    ::close(listener_);
                    if (accepted >= 0) {
                        ::close(accepted);
                    }
                    return;
                }
                std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }).detach();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// Refuses connections from now on, and resets those that are open.
    void stop() {
        if (is_stopped_.exchange(true)) {
            return;
        }
        ::shutdown(listener_, SHUT_RDWR); // ends the accepting thread, which closes it
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int descriptor : open_) {
            const linger option{1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

private:
    void serve(int accepted) {
        stream_socket socket(accepted);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            open_.insert(accepted);
        }
        while (true) {
            const http_message request = read_message(socket, false, 600000);
            if (!request.is_whole || !handle_(request, socket)) {
                break;
            }
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(accepted);
        socket.close();
    }

    handler handle_;
    int listener_;
    std::uint16_t port_{0};
    std::mutex mutex_;
    std::set<int> open_; ///< connections
    std::atomic<bool> is_stopped_{false};
};

/// @return a free port below those that the operating system gives to outgoing connections
inline std::uint16_t free_port() {
    constexpr int first = 12000;
    constexpr int count = 18000;
    static int next = static_cast<int>(::getpid()) * 97 % count;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first + next);
        next = (next + 1) % count;
        const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const bool is_free =
            ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(probe);
        if (is_free) {
            return port;
        }
    }
}

inline std::string loopback(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

inline std::string encode_base64(const std::string& text) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string coded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t block = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            block = block << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            coded += i + j > text.size() ? '=' : digits[block >> (18 - 6 * j) & 63];
        }
    }
    return coded;
}

inline std::string sha256_hex(const std::string& text) {
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
    std::string hex;
    char pair[3];
    for (const unsigned char byte : digest) {
        std::snprintf(pair, sizeof(pair), "%02x", byte);
        hex += pair;
    }
    return hex;
}

/// The platform's store: rows in tables, one part each, with a feed.
class store {
public:
    store() : server_([this](const auto& request, auto& socket) { return handle(request, socket); }) {}

    std::string address() const { return server_.address(); }

    void put(const std::string& table, const std::string& key, const json& value) {
        put_coded(table, key, encode_base64(value.dump()));
    }
    void remove(const std::string& table, const std::string& key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        rows_[table][key] = {"", ++version_, true};
        changed_.notify_all();
    }

private:
    struct row {
        std::string value;
        std::uint64_t version{0};
        bool is_removed{false};
    };

    void put_coded(const std::string& table, const std::string& key, const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        rows_[table][key] = {value, ++version_, false};
        changed_.notify_all();
    }

    json page_locked(const std::string& table, std::uint64_t after, bool with_removed) {
        json records = json::array();
        std::vector<std::pair<std::string, row>> found;
        for (const auto& [key, value] : rows_[table]) {
            if (value.version > after && (with_removed || !value.is_removed)) {
                found.emplace_back(key, value);
            }
        }
        if (with_removed) {
            std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
                return left.second.version < right.second.version;
            });
        }
        for (const auto& [key, value] : found) {
            json entry{{"table", table}, {"part", ""}, {"key", key}, {"ver", value.version}};
            if (value.is_removed) {
                entry["tombstone"] = true;
            } else {
                entry["value"] = value.value;
            }
            records.push_back(entry);
        }
        return {{"records", records},
                {"has_more", false},
                {"ver", version_},
                {"server_time_ms", elapsed_ms() + 1000}};
    }

    bool handle(const http_message& request, stream_socket& socket) {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const std::string table = query_value(request.target, "table");
        if (path == "/rows-get") {
            json page;
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                page = page_locked(table, 0, false);
            }
            return socket.send(make_json_response(200, page));
        }
        if (path == "/rows-feed") {
            const auto after = static_cast<std::uint64_t>(
                number_of(query_value(request.target, "after")));
            const long wait = number_of(query_value(request.target, "wait_timeout_ms"));
            const auto until = clock_type::now() + milliseconds(wait);
            json page;
            {
                std::unique_lock<std::mutex> lock(mutex_);
                page = page_locked(table, after, true);
                while (page["records"].empty() &&
                       changed_.wait_until(lock, until) != std::cv_status::timeout) {
                    page = page_locked(table, after, true);
                }
            }
            return socket.send(make_json_response(200, page));
        }
        if (path == "/rows-tx") {
            const json body = json::parse(request.body);
            for (const json& entry : body.value("set_keys", json::array())) {
                put_coded(entry.at("table"), entry.at("key"), entry.at("value"));
            }
            for (const json& entry : body.value("remove", json::array())) {
                remove(entry.at("table"), entry.at("key"));
            }
            const std::lock_guard<std::mutex> lock(mutex_);
            return socket.send(make_json_response(
                200, {{"ver", version_}, {"server_time_ms", elapsed_ms() + 1000}}));
        }
        return socket.send(make_json_response(404, json::object()));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> rows_;
    std::uint64_t version_{0};
    http_listener server_;
};

/// A child process; killed by its id when this object ends.
class child {
public:
    child(std::vector<std::string> arguments, const std::string& log) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        std::vector<char*> words;
        for (auto& argument : arguments) {
            words.push_back(argument.data());
        }
        words.push_back(nullptr);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also when the case itself is killed
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execv(words[0], words.data());
            ::_exit(127);
        }
        ::close(output);
    }
    ~child() { kill_now(); }
    child(const child&) = delete;
    child& operator=(const child&) = delete;

    void signal(int number) {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    void kill_now() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    /// @return whether the process still runs
    bool is_running() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }
    int status() const { return status_; }
    int pid() const { return pid_; }

private:
    int pid_{-1};
    int status_{0};
};

struct response {
    bool is_connected{false};
    http_message message;
    bool is_closed{false}; ///< the connection ended before the answer was whole
};

inline std::unique_ptr<stream_socket> connect_to(const std::string& address) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(
        static_cast<std::uint16_t>(number_of(address.substr(address.find(':') + 1))));
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<stream_socket>(descriptor);
}

inline std::string make_request(const std::string& method, const std::string& target,
                                const header_list& headers, const std::string& body) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

inline response fetch(const std::string& address, const std::string& bytes, long timeout_ms) {
    response answer;
    const auto socket = connect_to(address);
    if (socket == nullptr) {
        return answer;
    }
    answer.is_connected = socket->send(bytes);
    answer.message = read_message(*socket, true, timeout_ms);
    answer.is_closed = !answer.message.is_whole && socket->is_ended();
    return answer;
}

/// Settings as deploy/gateway.yaml and deploy/sidecar.yaml give them on benammar-camps.
struct place {
    std::string zone;
    std::string region;
};
inline const std::vector<place> places{
    {"nord-tunis", "nord"}, {"sahel-sfax", "sahel"}, {"sud-gabes", "sud"}};

inline const std::string bounds_text = "  retry_ratio: 0.2\n  retry_slack: 102\n"
                                       "  retry_window: 10s\n  cold_factor: 1.5\n  cold_slack: 5\n";
inline const std::string later_bounds_text =
    "  removal_due: 2000ms\n  weights_due: 8000ms\n  contact: 3000ms\n  grace_period: 8s\n"
    "  longest_lifetime: 5s\n";

inline std::string zones_text() {
    std::string text = "zones:\n";
    for (const place& at : places) {
        text += "  - name: " + at.zone + "\n    region: " + at.region + "\n";
    }
    return text;
}

/// A gateway or a sidecar.
struct node {
    std::string name;
    place at;
    std::string settings_file;
    std::string log_file;
    std::string front, ready, directory, peer, metrics;
    std::unique_ptr<child> process;

    void start() {
        process = std::make_unique<child>(
            std::vector<std::string>{"target/bin/citronseamd", "--settings", settings_file},
            log_file);
    }
};

/// The processes of a deployment, with their files in a temporary folder.
class deployment {
public:
    explicit deployment(std::string store_address) : store_address_(std::move(store_address)) {
        char name[] = "/tmp/citronseam-review-XXXXXX";
        folder_ = ::mkdtemp(name);
    }
    ~deployment() {
        gateways.clear();
        sidecars.clear();
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(folder_);
        }
    }

    node& add_gateway(std::size_t zone) {
        node& added = *gateways.emplace_back(std::make_unique<node>());
        added.at = places.at(zone);
        added.name = "edge-" + added.at.zone + "-" + std::to_string(gateways.size());
        added.front = loopback(free_port());
        added.ready = loopback(free_port());
        added.directory = loopback(free_port());
        added.peer = loopback(free_port());
        added.metrics = loopback(free_port());
        seeds_ += (seeds_.empty() ? "" : ",") + added.peer;
        return added;
    }
    node& add_sidecar(std::size_t zone, const std::string& service, const std::string& engine) {
        node& added = *sidecars.emplace_back(std::make_unique<node>());
        added.at = places.at(zone);
        added.name = "side-" + added.at.zone + "-" + std::to_string(sidecars.size());
        added.peer = loopback(free_port());
        added.metrics = loopback(free_port());
        engine_texts_[added.name] =
            "backend_server:\n  service: " + service + "\n  address: " + engine + "\n";
        return added;
    }
    void write_settings() {
        for (auto& each : gateways) {
            write(*each, "role: gateway\ninstance: " + each->name + "\navailability_zone: " +
                             each->at.zone + "\nlisten:\n  http: " + each->front +
                             "\n  readiness: " + each->ready + "\n  directory: " +
                             each->directory + "\n  peer: " + each->peer + "\n  operator: " +
                             each->metrics + "\nregion: " + each->at.region +
                             "\nmemory: 260MiB\nstore: " + store_address_ + "\nseeds: [" + seeds_ +
                             "]\n" + zones_text() + "bounds:\n" + bounds_text +
                             "  configuration_due: 2000ms\n" + later_bounds_text);
        }
        for (auto& each : sidecars) {
            write(*each, "role: sidecar\ninstance: " + each->name + "\navailability_zone: " +
                             each->at.zone + "\nlisten:\n  peer: " + each->peer +
                             "\n  operator: " + each->metrics + "\npeer_link: 7.6Mbit/s\n" +
                             engine_texts_[each->name] + "region: " + each->at.region +
                             "\nmemory: 128MiB\nstore: " + store_address_ + "\nseeds: [" + seeds_ +
                             "]\n" + zones_text() + "bounds:\n" + bounds_text +
                             later_bounds_text);
        }
    }
    void start() {
        write_settings();
        for (auto& each : gateways) {
            each->start();
        }
        for (auto& each : sidecars) {
            each->start();
        }
    }
    static bool is_ready(const node& gateway) {
        const auto answer =
            fetch(gateway.ready, make_request("GET", "/readyz", {{"Host", "x"}}, ""), 1000);
        return answer.message.status == 200;
    }
    bool wait_until_ready(long timeout_ms) {
        const auto until = clock_type::now() + milliseconds(timeout_ms);
        while (clock_type::now() < until) {
            bool are_ready = true;
            for (auto& each : gateways) {
                are_ready = are_ready && is_ready(*each);
            }
            if (are_ready) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }
    const std::string& folder() const { return folder_; }

    std::vector<std::unique_ptr<node>> gateways;
    std::vector<std::unique_ptr<node>> sidecars;

private:
    void write(node& each, const std::string& text) {
        each.settings_file = folder_ + "/" + each.name + ".yaml";
        each.log_file = folder_ + "/" + each.name + ".log";
        std::ofstream(each.settings_file) << text;
    }

    std::string store_address_;
    std::string folder_;
    std::string seeds_;
    std::map<std::string, std::string> engine_texts_;
};

inline constexpr const char* model_name = "daka510000";
inline constexpr std::size_t piece_count = 64;
inline constexpr std::size_t piece_size = 32768;
inline constexpr const char* client_key = "jnbanfqasnmgkcuyj8pj";
inline constexpr const char* host_name = "jepu9.example";

inline std::string make_piece(std::uint64_t version, std::size_t index) {
    std::string text = std::to_string(version) + "/" + std::to_string(index) + "/";
    while (text.size() < piece_size) {
        text += text;
    }
    return text.substr(0, piece_size);
}

/// The configuration: streams for the engines, bookings and lookups for the desk.
inline json make_configuration(std::uint64_t version, const std::string& origin) {
    const json engine{{"slots", 16},
                      {"kv_cache_tokens", 685000},
                      {"kv_token_bytes", 327680},
                      {"stride", 6},
                      {"models", json::array({{{"name", model_name},
                                               {"pace", 1.0},
                                               {"load_s", 4.0},
                                               {"warm_s", 0.3}}})},
                      {"step_ms", 7.4},
                      {"per_seq_ms", 0.0387},
                      {"context_per_k", 0.0203},
                      {"read_per_s", 31900.0},
                      {"pairs_per_m", 0.733},
                      {"chunk", 2048},
                      {"report_lag_ms", 200.0},
                      {"usual", {{"prompt", 973}, {"answer", 106}}},
                      {"layers", 16},
                      {"chunks", piece_count},
                      {"chunk_bytes", piece_size}};
    return {
        {"version", version},
        {"routes",
         json::array({{{"name", "draft"},
                       {"host", host_name},
                       {"prefix", "/draft/"},
                       {"type", "streaming"},
                       {"timeout_ms", 6000},
                       {"slo_ms", 400},
                       {"gap_slo_ms", 300},
                       {"priority", 1},
                       {"service", "huvo11a"},
                       {"max_attempts", 2},
                       {"sticky", true},
                       {"resumable", true},
                       {"allowed_regions", json::array()}},
                      {{"name", "book"},
                       {"host", host_name},
                       {"prefix", "/book/"},
                       {"type", "non_idempotent"},
                       {"timeout_ms", 800},
                       {"slo_ms", 100},
                       {"priority", 2},
                       {"service", "desk"},
                       {"max_attempts", 1},
                       {"allowed_regions", json::array()}},
                      {{"name", "look"},
                       {"host", host_name},
                       {"prefix", "/look/"},
                       {"type", "idempotent"},
                       {"timeout_ms", 800},
                       {"slo_ms", 100},
                       {"priority", 2},
                       {"service", "desk"},
                       {"max_attempts", 2},
                       {"allowed_regions", json::array()}}})},
        {"services",
         json::array({{{"name", "huvo11a"},
                       {"health_path", "/healthz"},
                       {"max_conns", 424},
                       {"cold_s", 3.0},
                       {"cold_per_s", 36.0},
                       {"engine", engine}},
                      {{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 100}},
                      {{"name", "ledger"},
                       {"origin", origin},
                       {"zone", "nord-tunis"},
                       {"link_mbps", 9.9},
                       {"max_conns", 48}}})},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 5000},
          {"idle_timeout_ms", 15000}}},
        {"tenants",
         json::array({{{"name", "bozi300"}, {"api_keys", {client_key}}, {"priority", 1}}})}};
}

inline std::string next_attempt() {
    static std::atomic<int> count{0};
    return "attempt-" + std::to_string(++count);
}

inline header_list client_headers(const std::string& attempt, long deadline_ms) {
    return {{"Host", host_name},
            {"X-Citronseam-Attempt-Id", attempt},
            {"X-Citronseam-Deadline-Ms", std::to_string(deadline_ms)},
            {"Authorization", std::string("Token ") + client_key}};
}

/// Origin of the weights: digests and pieces of all versions.
class weight_origin {
public:
    weight_origin()
        : server_([this](const auto& request, auto& socket) { return handle(request, socket); }) {}
    std::string address() const { return server_.address(); }

    /// Changes an answer to a call for the digests; the first argument counts these calls.
    std::function<void(int, json&)> spoil;
    std::atomic<bool> is_down{false}; ///< resets all connections

private:
    bool handle(const http_message& request, stream_socket& socket) {
        if (is_down) {
            socket.reset();
            return false;
        }
        const auto version =
            static_cast<std::uint64_t>(number_of(query_value(request.target, "version"), 1));
        if (request.target.rfind("/manifest/", 0) == 0) {
            json digests = json::array();
            for (std::size_t i = 0; i < piece_count; ++i) {
                digests.push_back(sha256_hex(make_piece(version, i)));
            }
            json list{{"model", model_name},
                      {"version", version},
                      {"chunk_bytes", piece_size},
                      {"layers", 16},
                      {"digests", digests}};
            const int number = ++manifest_count_;
            if (spoil) {
                spoil(number, list);
            }
            record.write("origin: answer " + std::to_string(number) + " lists " +
                         std::to_string(list["digests"].size()) + " digests of version " +
                         std::to_string(version));
            return socket.send(make_json_response(200, list)) && false;
        }
        const auto index = number_of(query_value(request.target, "sample_count"));
        return socket.send(make_response(
                   200, {}, make_piece(version, static_cast<std::size_t>(index)))) &&
               false;
    }

    std::atomic<int> manifest_count_{0};
    http_listener server_;
};

/// A model engine. It loads what is staged as it is, as the page says.
class engine {
public:
    explicit engine(std::string id)
        : id_(std::move(id)),
          server_([this](const auto& request, auto& socket) { return handle(request, socket); }) {
        for (std::size_t i = 0; i < piece_count; ++i) {
            staged_[i] = make_piece(1, i);
        }
    }
    std::string address() const { return server_.address(); }
    const std::string& id() const { return id_; }
    json row(const std::string& zone) {
        const std::lock_guard<std::mutex> lock(mutex_);
        json value{{"service", "huvo11a"}, {"address", server_.address()}, {"zone", zone},
                   {"version", "v1"},      {"slots", 16},                  {"state", "ready"},
                   {"cold_ms", 0},         {"sequence", ++beats_}};
        value.update(state_locked());
        return value;
    }
    std::uint64_t version() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return version_;
    }

    std::atomic<int> wrong_streams{0}; ///< written with a layer that was taken wrong
    std::atomic<int> streams{0};
    std::atomic<int> event_interval_ms{20};
    /// From the arrival of a request to its first token. It begins to run with that.
    std::atomic<long> wait_ms{0};
    /// Whether a request that waits goes on when its connection closes.
    std::atomic<bool> keeps_cancelled{false};
    /// Called for each request that it runs. Set it before the first one.
    std::function<void(const http_message&)> on_arrival;
    /// @return time and version of each request that began to run
    std::vector<std::pair<long, std::uint64_t>> begun() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return begun_;
    }

private:
    json state_locked() const {
        return {{"stage", "colocated"},
                {"born", 1700000000000},
                {"models",
                 json::array({{{"name", model_name}, {"version", version_}, {"adapters", json::array()}}})},
                {"layers", json::array({{{"from", 0}, {"target", 16}, {"version", version_}}})}};
    }

    bool handle(const http_message& request, stream_socket& socket) {
        const std::string path = request.target.substr(0, request.target.find('?'));
        const auto index =
            static_cast<std::size_t>(number_of(query_value(request.target, "sample_count")));
        if (path == "/report") {
            const std::lock_guard<std::mutex> lock(mutex_);
            json state = state_locked();
            state.update({{"busy", is_loading_},
                          {"sequence", sequence_},
                          {"num_waiting", waiting_.load()},
                          {"num_running", running_.load()},
                          {"kv_used_tokens", 0},
                          {"kv_total_tokens", 685000},
                          {"pace", 1.0},
                          {"handles", 0}});
            return socket.send(make_json_response(200, state));
        }
        if (path.rfind("/stage-put/", 0) == 0) {
            const std::lock_guard<std::mutex> lock(mutex_);
            staged_[index] = request.body;
            return socket.send(make_response(200, {}, ""));
        }
        if (path.rfind("/stage-get/", 0) == 0) {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = staged_.find(index);
            return socket.send(found == staged_.end() ? make_response(404, {}, "")
                                                      : make_response(200, {}, found->second));
        }
        if (path == "/order") {
            return socket.send(make_response(take_order(json::parse(request.body)), {}, ""));
        }
        if (path == "/healthz") {
            return socket.send(make_response(200, {{"X-Citronseam-Instance-Id", id_}}, ""));
        }
        return run(request, socket);
    }

    int take_order(const json& order) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto wanted = order.at("version").get<std::uint64_t>();
        if (order.at("expected_revision").get<std::uint64_t>() != sequence_ || is_loading_) {
            return 409;
        }
        ++sequence_;
        std::vector<std::size_t> wrong;
        for (std::size_t i = 0; i < piece_count; ++i) {
            if (staged_.count(i) == 0 || staged_[i] != make_piece(wanted, i)) {
                wrong.push_back(i);
            }
        }
        std::string text = "engine " + id_ + ": accepts the order to load version " +
                           std::to_string(wanted) + ", wrong pieces staged:";
        for (const std::size_t i : wrong) {
            text += " " + std::to_string(i) + " (" + staged_[i].substr(0, 5) + ")";
        }
        record.write(text + (wrong.empty() ? " none" : ""));
        is_loading_ = true;
        std::thread([this, wanted, is_wrong = !wrong.empty()] {
            sleep_ms(300);
            const std::lock_guard<std::mutex> guard(mutex_);
            version_ = wanted;
            is_taken_wrong_ = is_wrong;
            is_loading_ = false;
        }).detach();
        return 202;
    }

    /// @return whether the request may begin; false if its connection was closed meanwhile
    bool wait_for_turn(stream_socket& socket) {
        const auto turn = clock_type::now() + milliseconds(wait_ms);
        while (clock_type::now() < turn) {
            if (!keeps_cancelled && socket.has_peer_left()) {
                return false;
            }
            sleep_ms(5);
        }
        return true;
    }

    bool run(const http_message& request, stream_socket& socket) {
        const std::string attempt = find_header(request.headers, "X-Citronseam-Attempt-Id");
        const std::string expected = find_header(request.headers, "X-Citronseam-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            return socket.send(make_response(421, {{"X-Citronseam-Instance-Id", id_}}, ""));
        }
        ++waiting_;
        const bool is_left = !wait_for_turn(socket);
        --waiting_;
        if (is_left) {
            return false;
        }
        bool is_wrong = false;
        std::uint64_t version = 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (is_loading_) {
                return socket.send(make_response(503, {{"X-Citronseam-Not-Executed", "1"}}, ""));
            }
            is_wrong = is_taken_wrong_;
            version = version_;
            begun_.emplace_back(elapsed_ms(), version);
        }
        if (on_arrival) {
            on_arrival(request);
        }
        ++running_;
        ++streams;
        wrong_streams += is_wrong ? 1 : 0;
        record.write("engine " + id_ + ": runs " + attempt + " on version " +
                     std::to_string(version) + (is_wrong ? " WITH A WRONG PIECE" : ""));
        bool is_open = socket.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                   "X-Citronseam-Attempt-Id: " +
                                   attempt + "\r\nX-Citronseam-Response-Seal: seal-" + attempt +
                                   "\r\nX-Citronseam-Weight-Versions: " + std::to_string(version) +
                                   "\r\nTransfer-Encoding: chunked\r\n\r\n");
        const long first = number_of(find_header(request.headers, "Last-Event-Id")) + 1;
        for (long i = first; is_open && i <= 8; ++i) {
            sleep_ms(event_interval_ms);
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + id_ + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            is_open = !socket.has_peer_left() && socket.send(size + event + "\r\n");
        }
        --running_;
        return is_open && socket.send("0\r\n\r\n");
    }

    const std::string id_;
    std::mutex mutex_;
    std::map<std::size_t, std::string> staged_;
    std::uint64_t version_{1};
    std::uint64_t sequence_{0};
    std::uint64_t beats_{0};
    bool is_loading_{false};
    bool is_taken_wrong_{false};
    std::atomic<int> running_{0};
    std::atomic<int> waiting_{0};
    std::vector<std::pair<long, std::uint64_t>> begun_;
    http_listener server_;
};

/// A plain server that books and looks up.
class desk {
public:
    explicit desk(std::string id)
        : id_(std::move(id)),
          server_([this](const auto& request, auto& socket) { return handle(request, socket); }) {}
    std::string address() const { return server_.address(); }
    const std::string& id() const { return id_; }
    json row(const std::string& zone) const {
        return {{"service", "desk"}, {"address", server_.address()}, {"zone", zone},
                {"version", "v1"},   {"slots", 6},                   {"state", "ready"},
                {"cold_ms", 0},      {"sequence", 1}};
    }
    /// Refuses connections from now on.
    void stop() { server_.stop(); }
    /// Replaces the usual answer.
    http_listener::handler on_run;
    std::function<void(const http_message&)> on_arrival;

    std::string answer_to(const http_message& request) const {
        const std::string attempt = find_header(request.headers, "X-Citronseam-Attempt-Id");
        return make_response(200,
                             {{"X-Citronseam-Attempt-Id", attempt},
                              {"X-Citronseam-Response-Seal", "seal-" + attempt}},
                             "done " + request.target + " " + attempt);
    }

private:
    bool handle(const http_message& request, stream_socket& socket) {
        const std::string attempt = find_header(request.headers, "X-Citronseam-Attempt-Id");
        const std::string expected = find_header(request.headers, "X-Citronseam-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            return socket.send(make_response(421, {{"X-Citronseam-Instance-Id", id_}}, ""));
        }
        if (on_arrival) {
            on_arrival(request);
        }
        record.write("desk " + id_ + ": runs " + request.method + " " + request.target + " " +
                     attempt);
        return on_run ? on_run(request, socket) : socket.send(answer_to(request));
    }

    const std::string id_;
    http_listener server_;
};

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Exit codes of a case.
enum verdict { held = 0, broken = 1, not_run = 2 };

} // namespace review

#endif
