#include "citronseam/connection/http_server.h"

#include <algorithm>
#include <cerrno>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <utility>

#include <fcntl.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <pistache/http.h>
#include <pistache/net.h>
#include <pistache/peer.h>
#include <pistache/reactor.h>
#include <pistache/transport.h>

#include "citronseam/connection/chunk_decoder.h"
#include "citronseam/connection/header_syntax.h"
#include "citronseam/connection/http_client.h"
#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/request_guard.h"
#include "connection/server_connection.h"

namespace citronseam {
namespace {

namespace http = Pistache::Http;
using peer_pointer = std::shared_ptr<Pistache::Tcp::Peer>;

constexpr const char* connection_key = "citronseam_connection";
constexpr int bad_request = 400;
constexpr const char* content_length = "Content-Length";
/// More than Pistache reads at once: the framing of chunks needs room beside the body.
constexpr std::size_t max_read_size = 16 * kibibyte;
/// Room for a request that has no body.
constexpr std::size_t max_parser_size = 2 * max_head_size;
constexpr std::string_view no_room_response =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
    "X-Run-Verdict: not_run\r\nContent-Length: 0\r\n\r\n";

/// Interval at which the timeouts of client connections are checked; usual timeouts are seconds.
constexpr milliseconds timeout_check_interval{250};

/// State of one connection while requests are read from it.
struct connection_input {
    std::shared_ptr<server_connection> connection;
    std::shared_ptr<receive_buffer> received; ///< an incomplete header section, or the body
    std::string head;           ///< without the fields that frame the body, while that is received
    std::string target;         ///< path and query as the client sent them
    std::uint64_t body_size{0}; ///< announced; unless the body is chunked
    std::uint64_t body_remaining{0};     ///< bytes of it still expected
    std::optional<chunk_decoder> chunks; ///< of a chunked body
    bool is_in_body{false};
    bool has_body_fields{false}; ///< its head frames a body, which may be empty
    bool is_refused{false};
};

/// Pistache keeps one field line of each name, and no cookies.
/// @param head request line and fields that check_head() accepted
/// @return the fields in their order
std::vector<http_header> read_header_fields(std::string_view head) {
    constexpr std::string_view line_end = "\r\n";
    std::vector<http_header> headers;
    head.remove_prefix(head.find(line_end) + line_end.size());
    while (!head.starts_with(line_end)) {
        const std::string_view line = head.substr(0, head.find(line_end));
        const auto colon = line.find(':');
        headers.push_back({std::string(line.substr(0, colon)),
                           std::string(trim_white_space(line.substr(colon + 1)))});
        head.remove_prefix(line.size() + line_end.size());
    }
    return headers;
}

/// @return path and query of a request line; parsed here because Pistache sorts and decodes the
/// query
std::string parse_target(std::string_view head) {
    const auto first = head.find(' ');
    const auto end = head.find(' ', first + 1);
    if (first == std::string_view::npos || end == std::string_view::npos) {
        return {};
    }
    return std::string(head.substr(first + 1, end - first - 1));
}

/// @param request without its body
/// @param head    from which it was parsed
server_request to_server_request(const http::Request& request, std::string_view head,
                                 std::string target) {
    server_request converted;
    converted.method = http::methodString(request.method());
    converted.path = target.substr(0, target.find('?'));
    converted.target = std::move(target);
    converted.headers = read_header_fields(head);
    converted.client_address = request.address().host();
    return converted;
}

bool is_field(std::string_view line, std::string_view name) {
    return line.size() > name.size() && line[name.size()] == ':' &&
           strncasecmp(line.data(), name.data(), name.size()) == 0;
}

/// Pistache would copy the body several times, and keep it in buffers of its own.
/// @return the head of a request as of one without a body
std::string remove_body_fields(std::string_view head) {
    constexpr std::string_view line_end = "\r\n";
    std::string text;
    text.reserve(head.size());
    while (!head.starts_with(line_end)) {
        const std::string_view line = head.substr(0, head.find(line_end) + line_end.size());
        if (!is_field(line, "Transfer-Encoding") && !is_field(line, content_length)) {
            text += line;
        }
        head.remove_prefix(line.size());
    }
    text += line_end;
    return text;
}

/// The connections of a server. Responders may outlive the server and keep their connections alive.
class connection_list {
public:
    explicit connection_list(std::shared_ptr<receive_memory> received)
        : received_(std::move(received)) {}

    /// Makes room when few descriptors are left.
    /// @param descriptor the lowest one that is free
    /// @return whether another connection may be accepted
    bool may_accept(int descriptor) {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_descriptor_scarce_ = descriptor >= room_.scarce_descriptor;
        return has_descriptor_room(descriptor, room_);
    }

    /// @param descriptor by which Pistache will ask for the connection
    void add(int descriptor, std::shared_ptr<server_connection> connection) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++added_since_sweep_;
        const bool is_full = connections_.size() >= room_.most || is_descriptor_scarce_;
        if (is_full && added_since_sweep_ * sweeps_of_room > room_.most) {
            make_room_locked(std::chrono::steady_clock::now());
        }
        connections_.push_back(connection);
        accepted_[descriptor] = std::move(connection);
    }

    std::shared_ptr<server_connection> take_accepted(int descriptor) {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto connection = std::move(accepted_.at(descriptor));
        accepted_.erase(descriptor);
        return connection;
    }

    /// @return whether refused clients should leave, so that others can connect
    bool are_connections_scarce() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return connections_.size() >= room_.scarce;
    }

    void set_limits(const connection_limits& limits) {
        const std::lock_guard<std::mutex> lock(mutex_);
        limits_ = limits;
    }

    connection_limits limits() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return limits_;
    }

    void check_timeouts(time_point now) {
        const std::lock_guard<std::mutex> lock(mutex_);
        make_room_locked(now);
        for (const auto& weak : connections_) {
            const auto connection = weak.lock();
            if (connection != nullptr &&
                connection->check_timeouts(limits_, now) == timeout_action::refuse) {
                received_->record_refusal("too_slow", 1);
            }
        }
    }

    void refuse_unfinished_requests(std::string_view response) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& weak : connections_) {
            if (const auto connection = weak.lock()) {
                connection->refuse_unfinished_request(response);
            }
        }
    }

    bool has_unsent_responses() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return std::any_of(connections_.begin(), connections_.end(), [](const auto& weak) {
            const auto connection = weak.lock();
            return connection != nullptr && connection->has_unsent_bytes();
        });
    }

    void release_all() {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& weak : connections_) {
            if (const auto connection = weak.lock()) {
                connection->release_socket();
            }
        }
    }

private:
    /// Clients that arrive between two checks of the timeouts make room once for this share of it.
    static constexpr std::size_t sweeps_of_room = 16;

    static connection_room find_room() {
        rlimit files{};
        ::getrlimit(RLIMIT_NOFILE, &files);
        return find_connection_room(files.rlim_cur);
    }

    /// Drops the entries of connections that are gone, and closes those idle for longest when there
    /// are too many. Their clients may send on, so what is closed was not read. If there are still
    /// too many, those whose requests made no progress for longest are refused.
    void make_room_locked(time_point now) {
        added_since_sweep_ = 0;
        std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
        const bool is_descriptor_scarce = std::exchange(is_descriptor_scarce_, false);
        if (connections_.size() <= room_.most && !is_descriptor_scarce) {
            return;
        }
        std::vector<time_point> idle_since;
        std::vector<time_point> stalled_since;
        std::size_t open = 0;
        for (const auto& weak : connections_) {
            const auto connection = weak.lock();
            if (connection == nullptr || !connection->is_open()) {
                continue;
            }
            ++open;
            if (const auto since = connection->idle_since()) {
                idle_since.push_back(*since);
            } else if (const auto stalled = connection->stalled_since()) {
                stalled_since.push_back(*stalled);
            }
        }
        const connection_room room = is_descriptor_scarce ? reduce_room(room_, open) : room_;
        const auto stalled_cutoff =
            choose_stalled_cutoff(std::move(stalled_since), idle_since.size(), open, room, now);
        const auto cutoff = choose_idle_cutoff(std::move(idle_since), open, room);
        for (const auto& weak : connections_) {
            const auto connection = weak.lock();
            if (cutoff && connection != nullptr) {
                connection->close_if_idle_since(*cutoff);
            }
            if (stalled_cutoff && connection != nullptr) {
                refuse_if_stalled_since(*connection, *stalled_cutoff);
            }
        }
    }

    void refuse_if_stalled_since(server_connection& connection, time_point latest) const {
        const auto since = connection.stalled_since();
        if (since && *since <= latest) {
            connection.refuse_unfinished_request(no_room_response);
            received_->record_refusal("connections", 1);
        }
    }

    mutable std::mutex mutex_;
    connection_limits limits_;
    connection_room room_{find_room()};
    std::vector<std::weak_ptr<server_connection>> connections_;
    std::map<int, std::shared_ptr<server_connection>> accepted_; ///< that Pistache has yet to take
    std::size_t added_since_sweep_{0};
    bool is_descriptor_scarce_{false};
    std::shared_ptr<receive_memory> received_;
};

/// Sits between the sockets and Pistache's parser: validates each header section, feeds the parser
/// one request at a time and tracks when connections open and close.
class validating_handler : public http::Handler {
    HTTP_PROTOTYPE(validating_handler)

public:
    validating_handler(asio::io_context& write_loop, std::shared_ptr<connection_list> connections,
                       std::shared_ptr<receive_memory> received, request_handler handler,
                       const server_options& options)
        : write_loop_(write_loop), connections_(std::move(connections)),
          received_(std::move(received)),
          unsent_(std::make_shared<buffer_budget>(options.max_unsent_bytes)),
          handler_(std::move(handler)), max_body_size_(options.max_body_size) {}

    /// Pistache calls this from its own onInput(), which is overridden below.
    void onRequest(const http::Request&, http::ResponseWriter) override {}

    void onConnection(const peer_pointer& peer) override {
        peer->putData(ParserData, std::make_shared<http::RequestParser>(max_parser_size));
        auto input = std::make_shared<connection_input>();
        input->connection = connections_->take_accepted(peer->fd());
        peer->putData(connection_key, input);
    }

    /// Prepares the answers of a connection before Pistache gets it, so that the descriptors that
    /// an accepted connection needs are in use before the next one is accepted.
    void add_accepted(int descriptor) {
        auto connection = std::make_shared<server_connection>(write_loop_, descriptor, unsent_);
        connections_->add(descriptor, std::move(connection));
    }

    void onDisconnection(const peer_pointer& peer) override {
        const auto input = input_of(peer);
        if (input == nullptr) {
            return;
        }
        input->connection->handle_disconnect();
    }

private:
    static std::shared_ptr<connection_input> input_of(const peer_pointer& peer) {
        return std::static_pointer_cast<connection_input>(peer->tryGetData(connection_key));
    }

    void onInput(const char* buffer, std::size_t size, const peer_pointer& peer) override {
        const auto input = input_of(peer);
        if (input == nullptr || input->is_refused) {
            return;
        }
        if (input->is_in_body) {
            input->connection->record_input(connection_phase::body, size);
            feed_body({buffer, size}, *input, peer);
            return;
        }
        input->connection->record_input(connection_phase::head);
        const connection_limits limits = connections_->limits();
        const std::uint64_t body_limit = std::min(max_body_size_, limits.body);
        const auto checked = feed_head({buffer, size}, limits.head, body_limit, *input);
        if (!checked || checked->status == head_check_status::incomplete) {
            return;
        }
        if (checked->status != head_check_status::accepted) {
            refuse_head(checked->status, *input);
            return;
        }
        const std::string bytes = input->received->take(checked->head_size);
        if (bytes.size() < checked->head_size) {
            end_refused(*input); // on another thread
            return;
        }
        const std::string_view head = std::string_view(bytes).substr(0, checked->head_size);
        const std::string_view rest = std::string_view(bytes).substr(checked->head_size);
        input->target = parse_target(head);
        input->head = remove_body_fields(head);
        input->has_body_fields = input->head.size() < head.size();
        input->is_in_body = true;
        input->connection->record_input(connection_phase::body, rest.size());
        input->body_size = checked->body_size;
        input->body_remaining = checked->body_size;
        if (checked->is_chunked) {
            input->chunks.emplace().body_limit = body_limit;
        }
        feed_body(rest, *input, peer);
    }

    /// @return the state of the head; none if the request was refused for its memory
    std::optional<head_check_result> feed_head(std::string_view bytes, std::size_t head_limit,
                                               std::uint64_t body_limit, connection_input& input) {
        if (input.received == nullptr) {
            input.received = received_->begin([weak = std::weak_ptr(input.connection)] {
                if (const auto connection = weak.lock()) {
                    connection->refuse_unfinished_request(no_room_response);
                }
            });
        }
        head_check_result checked;
        const auto append = [&](std::string& text) {
            text += bytes;
            checked = check_head(text, body_limit, head_limit);
        };
        if (!input.received->extend(bytes.size(), 0, append)) {
            end_refused(input);
            return std::nullopt;
        }
        return checked;
    }

    void feed_body(std::string_view bytes, connection_input& input, const peer_pointer& peer) {
        if (input.chunks) {
            feed_chunks(bytes, input, peer);
            return;
        }
        if (bytes.size() > input.body_remaining) {
            input.connection->close_after_response();
            bytes = bytes.substr(0, input.body_remaining);
        }
        if (!input.received->append(bytes, input.body_size)) {
            end_refused(input);
            return;
        }
        input.body_remaining -= bytes.size();
        if (input.body_remaining == 0) {
            complete_request(input, peer);
        }
    }

    void feed_chunks(std::string_view bytes, connection_input& input, const peer_pointer& peer) {
        std::size_t used = 0;
        chunk_decoder& chunks = *input.chunks;
        const auto decode = [&](std::string& text) {
            chunks.body.swap(text);
            used = decode_chunks(chunks, bytes);
            chunks.body.swap(text);
        };
        if (!input.received->extend(bytes.size(), chunks.body_limit + max_read_size, decode)) {
            end_refused(input);
            return;
        }
        switch (chunks.status) {
        case chunk_status::more:
            break;
        case chunk_status::whole:
            if (used < bytes.size()) {
                input.connection->close_after_response();
            }
            input.chunks.reset();
            complete_request(input, peer);
            break;
        case chunk_status::malformed:
            refuse(bad_request, "the chunks of the body are malformed", input);
            break;
        case chunk_status::too_long:
            refuse_head(head_check_status::body_too_large, input);
            break;
        }
    }

    /// Handles a request that was received as a whole.
    void complete_request(connection_input& input, const peer_pointer& peer) {
        std::string body;
        auto memory = input.received->complete(body);
        input.received.reset();
        if (memory == nullptr) {
            end_refused(input);
            return;
        }
        const std::string head = std::exchange(input.head, {});
        const auto parser = getParser(peer);
        try {
            if (!parser->feed(head.data(), head.size()) ||
                parser->parse() != http::Private::State::Done) {
                refuse(bad_request, "the request cannot be parsed", input);
                return;
            }
            parser->request.copyAddress(peer->address());
            input.is_in_body = false;
            dispatch_request(parser->request, head, std::move(body), std::move(memory), input);
            parser->reset();
        } catch (const std::exception&) {
            refuse(bad_request, "the request cannot be parsed", input);
        }
    }

    void dispatch_request(const http::Request& request, std::string_view head, std::string body,
                          std::shared_ptr<void> memory, connection_input& input) {
        if (!input.connection->begin_request()) {
            return;
        }
        const bool is_head_request = request.method() == http::Method::Head;
        server_request converted = to_server_request(request, head, std::move(input.target));
        if (input.has_body_fields) {
            converted.headers.push_back({content_length, std::to_string(body.size())});
        }
        converted.body = std::move(body);
        converted.memory = std::move(memory);
        handler_(std::move(converted),
                 std::make_shared<http_responder>(input.connection, is_head_request,
                                                  connections_->are_connections_scarce()));
    }

    /// Ignores what the client still sends, since its request was refused for its memory.
    static void end_refused(connection_input& input) {
        input.is_refused = true;
        input.connection->close_after_response();
        input.received.reset();
    }

    void refuse_head(head_check_status status, connection_input& input) {
        if (status == head_check_status::body_too_large) {
            received_->record_refusal("body_too_large", input.body_size);
        }
        refuse(http_status(status), message(status), input);
    }

    static void refuse(int status, std::string_view text, connection_input& input) {
        input.is_refused = true;
        input.received.reset();
        if (!input.connection->begin_request()) {
            return;
        }
        input.connection->close_after_response();
        http_responder responder(input.connection, false);
        const std::string body =
            "{\"error\":{\"message\":\"" + std::string(text) + "\",\"verdict\":\"not_run\"}}\n";
        responder.respond(status,
                          {{"Content-Type", "application/json"},
                           {"Connection", "close"},
                           {"X-Run-Verdict", "not_run"}},
                          body);
    }

    asio::io_context& write_loop_;
    std::shared_ptr<connection_list> connections_;
    std::shared_ptr<receive_memory> received_;
    std::shared_ptr<buffer_budget> unsent_;
    request_handler handler_;
    std::size_t max_body_size_;
};

/// Accepts connections and hands them to Pistache's threads. Pistache's own listener accepts until
/// no descriptor is left.
class client_acceptor {
public:
    client_acceptor(const server_options& options, std::shared_ptr<validating_handler> handler,
                    std::shared_ptr<connection_list> connections,
                    std::shared_ptr<receive_memory> received)
        : handler_(std::move(handler)), connections_(std::move(connections)),
          received_(std::move(received)), reactor_(Pistache::Aio::Reactor::create()) {
        const asio::ip::tcp::endpoint address(asio::ip::make_address(options.address.host),
                                              options.address.port);
        acceptor_.open(address.protocol());
        acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        acceptor_.bind(address);
        reactor_->init(Pistache::Aio::AsyncContext(static_cast<std::size_t>(options.threads)));
        transport_key_ = reactor_->addHandler(std::make_shared<Pistache::Tcp::Transport>(handler_));
        reactor_->run();
        acceptor_.listen(accept_backlog);
        acceptor_.non_blocking(true);
        asio::post(loop_.context(), [this] { accept_next(); });
    }
    ~client_acceptor() {
        loop_.stop();
        acceptor_.close();
        reactor_->shutdown();
    }
    client_acceptor(const client_acceptor&) = delete;
    client_acceptor& operator=(const client_acceptor&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    static constexpr int accept_backlog = 1024;
    /// Until then, clients wait in the backlog of the operating system.
    static constexpr milliseconds full_interval{20};

    void accept_next() {
        acceptor_.async_wait(
            asio::ip::tcp::acceptor::wait_read, [this](const asio::error_code& ec) {
                if (ec == asio::error::operation_aborted) {
                    return;
                }
                // All that wait are accepted: a second wait need not report them again.
                bool is_accepted = true;
                while (is_accepted && has_room()) {
                    is_accepted = accept_one();
                }
                if (!is_accepted) {
                    accept_next();
                    return;
                }
                timer_.expires_after(full_interval);
                timer_.async_wait([this](const asio::error_code&) { accept_next(); });
            });
    }

    /// The operating system assigns the lowest descriptor that is free.
    bool has_room() {
        const int lowest = ::fcntl(acceptor_.native_handle(), F_DUPFD_CLOEXEC, 0);
        if (lowest < 0) {
            return false;
        }
        ::close(lowest);
        const bool may_accept = connections_->may_accept(lowest);
        if (!may_accept && !is_paused_) {
            received_->record_pause(lowest);
        }
        is_paused_ = !may_accept;
        return may_accept;
    }

    /// @return false when no connection waits
    bool accept_one() {
        sockaddr_storage address{};
        socklen_t size = sizeof(address);
        const int descriptor =
            ::accept4(acceptor_.native_handle(), reinterpret_cast<sockaddr*>(&address), &size,
                      SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return errno == ECONNABORTED || errno == EINTR;
        }
        const int is_without_delay = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &is_without_delay,
                     sizeof(is_without_delay));
        handler_->add_accepted(descriptor);
        const auto peer = Pistache::Tcp::Peer::Create(
            descriptor, Pistache::Address::fromUnix(reinterpret_cast<sockaddr*>(&address)));
        const auto transports = reactor_->handlers(transport_key_);
        const auto index = static_cast<std::size_t>(descriptor) % transports.size();
        std::static_pointer_cast<Pistache::Tcp::Transport>(transports[index])->handleNewPeer(peer);
        return true;
    }

    std::shared_ptr<validating_handler> handler_;
    std::shared_ptr<connection_list> connections_;
    std::shared_ptr<receive_memory> received_;
    std::shared_ptr<Pistache::Aio::Reactor> reactor_;
    Pistache::Aio::Reactor::Key transport_key_;
    io_thread_pool loop_{1};
    asio::ip::tcp::acceptor acceptor_{loop_.context()};
    asio::steady_timer timer_{loop_.context()};
    bool is_paused_{false}; ///< loop's thread only
};

} // namespace

class http_server::implementation {
public:
    implementation(const server_options& options, request_handler handler)
        : write_loop_(static_cast<std::size_t>(options.threads)),
          received_(options.received != nullptr ? options.received
                                                : std::make_shared<receive_memory>()),
          acceptor_(std::in_place, options,
                    std::make_shared<validating_handler>(write_loop_.context(), connections_,
                                                         received_, std::move(handler), options),
                    connections_, received_) {
        run_periodically(write_loop_, timeout_check_interval, [this] {
            connections_->check_timeouts(std::chrono::steady_clock::now());
        });
    }

    ~implementation() {
        acceptor_.reset();
        write_loop_.stop();
        connections_->release_all();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    std::uint16_t port() const { return acceptor_->port(); }
    void set_limits(const connection_limits& limits) { connections_->set_limits(limits); }
    void refuse_unfinished_requests() {
        connections_->refuse_unfinished_requests(no_room_response);
    }
    bool has_unsent_responses() const { return connections_->has_unsent_responses(); }

private:
    io_thread_pool write_loop_;
    std::shared_ptr<receive_memory> received_;
    std::shared_ptr<connection_list> connections_{std::make_shared<connection_list>(received_)};
    std::optional<client_acceptor> acceptor_;
};

http_server::http_server(const server_options& options, request_handler handler)
    : implementation_(std::make_unique<implementation>(options, std::move(handler))) {}

http_server::~http_server() = default;

std::uint16_t http_server::port() const {
    return implementation_->port();
}

void http_server::set_limits(const connection_limits& limits) {
    implementation_->set_limits(limits);
}

void http_server::refuse_unfinished_requests() {
    implementation_->refuse_unfinished_requests();
}

bool http_server::has_unsent_responses() const {
    return implementation_->has_unsent_responses();
}

std::string query_parameter(const server_request& request, std::string_view name) {
    const auto query_start = request.target.find('?');
    if (query_start == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view(request.target).substr(query_start + 1);
    while (!rest.empty()) {
        const auto stop = rest.find('&');
        const std::string_view pair = rest.substr(0, stop);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return std::string(pair.substr(equals + 1));
        }
        rest = stop == std::string_view::npos ? std::string_view{} : rest.substr(stop + 1);
    }
    return {};
}

} // namespace citronseam
