#include "soak/caller_connection.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace citronseam::soak {
namespace {

constexpr const char* line_end = "\r\n";
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

std::optional<std::size_t> parse_size(const std::string& text, int base) {
    std::size_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

/// @return false if the bytes are no head of a response
bool parse_head(const std::string& head, caller_answer& answer) {
    constexpr const char* version = "HTTP/1.1 ";
    constexpr std::size_t status_start = 9;
    constexpr std::size_t status_size = 3;
    const auto status = head.size() < status_start + status_size
                            ? std::nullopt
                            : parse_size(head.substr(status_start, status_size), decimal);
    if (head.rfind(version, 0) != 0 || !status) {
        return false;
    }
    std::size_t line = head.find(line_end);
    while (line != std::string::npos) {
        line += 2;
        const auto stop = head.find(line_end, line);
        const std::string text = head.substr(line, stop - line);
        const auto colon = text.find(':');
        if (colon != std::string::npos) {
            std::string name = text.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            const auto value = text.find_first_not_of(' ', colon + 1);
            const bool is_new =
                answer.headers.emplace(name, value == std::string::npos ? "" : text.substr(value))
                    .second;
            if (!is_new && (name == "content-length" || name == "transfer-encoding")) {
                return false;
            }
        } else if (!text.empty()) {
            return false;
        }
        line = stop;
    }
    answer.status = static_cast<int>(*status);
    return true;
}

std::string header(const caller_answer& answer, const std::string& name) {
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? "" : found->second;
}

} // namespace

caller_connection::~caller_connection() {
    close();
}

bool caller_connection::connect() {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close();
        return false;
    }
    const int is_immediate = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &is_immediate, sizeof(is_immediate));
    ++connection_count_;
    return true;
}

void caller_connection::close() {
    if (socket_ >= 0) {
        ::close(socket_);
    }
    socket_ = -1;
    received_.clear();
}

bool caller_connection::send_all(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size =
            ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

caller_connection::read_result caller_connection::read_more(time_point deadline) {
    const auto remaining = std::max(
        std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now()),
        milliseconds(0));
    pollfd waited{socket_, POLLIN, 0};
    if (::poll(&waited, 1, static_cast<int>(remaining.count())) <= 0) {
        return read_result::timeout;
    }
    std::array<char, 4096> buffer{};
    const ssize_t size = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        return read_result::end;
    }
    received_.append(buffer.data(), static_cast<std::size_t>(size));
    return read_result::data;
}

/// Bytes that came while no request was waiting.
void caller_connection::take_leftover(caller_answer& answer) {
    const read_result result = read_more(std::chrono::steady_clock::now());
    answer.stray_bytes = received_;
    if (result == read_result::end || !received_.empty()) {
        close();
    }
}

bool caller_connection::read_until(const std::string& mark, caller_answer& answer,
                                   time_point deadline) {
    while (received_.find(mark) == std::string::npos) {
        const read_result result = read_more(deadline);
        if (result != read_result::data) {
            answer.end = result == read_result::end ? answer_end::broken : answer_end::timed_out;
            return false;
        }
    }
    return true;
}

bool caller_connection::read_head(caller_answer& answer, time_point deadline) {
    const std::string head_end = "\r\n\r\n";
    if (!read_until(head_end, answer, deadline)) {
        return false;
    }
    const auto size = received_.find(head_end);
    if (!parse_head(received_.substr(0, size), answer)) {
        answer.end = answer_end::broken;
        answer.stray_bytes = received_;
        return false;
    }
    received_.erase(0, size + head_end.size());
    return true;
}

bool caller_connection::read_bytes(caller_answer& answer, std::size_t count, time_point deadline) {
    while (true) {
        const std::size_t taken = std::min(count, received_.size());
        answer.body += received_.substr(0, taken);
        received_.erase(0, taken);
        count -= taken;
        if (count == 0) {
            return true;
        }
        const read_result result = read_more(deadline);
        if (result != read_result::data) {
            answer.end = result == read_result::end ? answer_end::broken : answer_end::timed_out;
            return false;
        }
    }
}

bool caller_connection::read_chunks(caller_answer& answer, time_point deadline) {
    while (read_until(line_end, answer, deadline)) {
        const auto line_size = received_.find(line_end);
        const auto size = parse_size(received_.substr(0, line_size), hexadecimal);
        if (!size) {
            answer.end = answer_end::broken;
            answer.stray_bytes = received_;
            return false;
        }
        received_.erase(0, line_size + 2);
        if (!read_bytes(answer, *size, deadline) || !read_until(line_end, answer, deadline)) {
            return false;
        }
        if (received_.rfind(line_end, 0) != 0) {
            answer.end = answer_end::broken;
            answer.stray_bytes = received_;
            return false;
        }
        received_.erase(0, 2);
        if (*size == 0) {
            return true;
        }
    }
    return false;
}

/// The end of the connection is the end of the answer.
void caller_connection::read_to_end(caller_answer& answer, time_point deadline) {
    while (true) {
        answer.body += received_;
        received_.clear();
        const read_result result = read_more(deadline);
        if (result != read_result::data) {
            answer.end = result == read_result::end ? answer_end::complete : answer_end::timed_out;
            return;
        }
    }
}

caller_answer caller_connection::exchange(const std::string& request, milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    caller_answer answer;
    if (socket_ >= 0) {
        take_leftover(answer);
    }
    if (socket_ < 0 && !connect()) {
        return answer;
    }
    answer.end = answer_end::broken;
    if (!send_all(request) || !read_head(answer, deadline)) {
        close();
        return answer;
    }
    const std::string length = header(answer, "content-length");
    bool is_whole = false;
    if (header(answer, "transfer-encoding") == "chunked") {
        is_whole = length.empty() && read_chunks(answer, deadline);
    } else if (const auto size = parse_size(length, decimal)) {
        is_whole = read_bytes(answer, *size, deadline);
    } else {
        read_to_end(answer, deadline);
        close();
        return answer;
    }
    if (is_whole) {
        answer.end = answer_end::complete;
    }
    if (!is_whole || header(answer, "connection") == "close") {
        close();
    }
    return answer;
}

} // namespace citronseam::soak
