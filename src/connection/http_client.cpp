#include "citronseam/connection/http_client.h"
#include "citronseam/connection/header_syntax.h"
#include "citronseam/process/sizes.h"
#include "connection/transfer_loop.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <utility>

#include <curl/curl.h>

namespace citronseam {
namespace {

constexpr long receive_buffer_size = 64 * kibibyte;
/// Memory that a header field takes beyond its text, here and in libcurl.
constexpr std::size_t field_overhead = 256;

void init_libcurl() {
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

/// One exchange in progress.
struct exchange {
    std::uint64_t id{0};
    http_request request;
    http_observer observer;
    CURL* easy{nullptr};
    curl_slist* header_list{nullptr};
    response_head head;
    std::shared_ptr<buffer_budget> buffers;
    buffer_share head_share;
    std::uint64_t body_bytes{0};
    bool is_head_reported{false};
    bool is_aborted{false};
    bool is_sent{false}; ///< libcurl began to send it once
    std::array<char, CURL_ERROR_SIZE> error_text{};

    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange() {
        curl_slist_free_all(header_list);
        curl_easy_cleanup(easy);
    }
};

void report_head(exchange& current) {
    if (current.is_head_reported) {
        return;
    }
    current.is_head_reported = true;
    if (current.observer.on_head) {
        current.observer.on_head(current.head.status, current.head.headers);
    }
}

/// @return whether there is room for what was received of the head
bool reserve_head(exchange& current) {
    response_head& head = current.head;
    const std::size_t size = head.received_bytes + field_overhead * head.headers.size();
    if (!current.head_share.resize(current.buffers, size)) {
        head.defect = head_defect::no_room;
        return false;
    }
    return true;
}

/// Whether the response repeats the header by which it can be told from another request's.
bool names_request(const exchange& current) {
    const std::string& name = current.request.echoed_header;
    const std::string value = find_header(current.request.headers, name);
    return name.empty() || (!value.empty() && find_header(current.head.headers, name) == value);
}

std::size_t handle_header(char* data, std::size_t size, std::size_t count, void* user) {
    auto& current = *static_cast<exchange*>(user);
    const std::string_view line(data, size * count);
    if (!read_head_line(current.head, line) || !reserve_head(current)) {
        return 0;
    }
    if (is_final_head_whole(current.head) && !names_request(current)) {
        curl_easy_setopt(current.easy, CURLOPT_FORBID_REUSE, 1L);
    }
    return line.size();
}

std::size_t handle_body(char* data, std::size_t size, std::size_t count, void* user) {
    auto& current = *static_cast<exchange*>(user);
    const std::string_view part(data, size * count);
    current.body_bytes += part.size();
    report_head(current);
    if (current.observer.on_data && !current.observer.on_data(part)) {
        current.is_aborted = true;
        return 0;
    }
    return part.size();
}

/// Called each time before libcurl sends the request.
int handle_sending(void* user, char*, char*, int, int) {
    auto& current = *static_cast<exchange*>(user);
    const bool is_resent = std::exchange(current.is_sent, true);
    return is_resent && !current.request.may_be_resent ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void set_body(CURL* easy, const http_request& request) {
    const std::string& body = request.shared_body ? *request.shared_body : request.body;
    const bool has_body = !body.empty() || request.method == "POST" || request.method == "PUT" ||
                          request.method == "PATCH";
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (has_body) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void set_connection_options(CURL* easy, const http_request& request) {
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    // Forward the path unchanged, without removing dot segments.
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receive_buffer_size);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request.connect_timeout.count()));
    if (!request.may_reuse_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, request.is_connect_only ? 1L : 0L);
    if (request.max_receive_bytes_per_s > 0) {
        curl_easy_setopt(easy, CURLOPT_MAX_RECV_SPEED_LARGE,
                         static_cast<curl_off_t>(request.max_receive_bytes_per_s));
    }
}

void set_headers(exchange& current) {
    for (const auto& header : current.request.headers) {
        const std::string line = header.name + ": " + header.value;
        current.header_list = curl_slist_append(current.header_list, line.c_str());
    }
    // An empty value keeps libcurl from adding its default header.
    for (const char* name : {"Accept", "Content-Type"}) {
        if (find_header(current.request.headers, name).empty()) {
            const std::string line = std::string(name) + ":";
            current.header_list = curl_slist_append(current.header_list, line.c_str());
        }
    }
    // Otherwise libcurl waits for "100 Continue" before it sends a large body.
    current.header_list = curl_slist_append(current.header_list, "Expect:");
    curl_easy_setopt(current.easy, CURLOPT_HTTPHEADER, current.header_list);
}

void set_up_handle(exchange& current) {
    current.easy = curl_easy_init();
    CURL* easy = current.easy;
    curl_easy_setopt(easy, CURLOPT_URL, current.request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &current);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, current.error_text.data());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &handle_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &handle_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current);
    // When a reused connection ends before the first byte of a response, libcurl connects and sends
    // the request again on its own.
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &handle_sending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &current);
    set_body(easy, current.request);
    set_connection_options(easy, current.request);
    set_headers(current);
}

/// Bytes of the request passed to the operating system, headers included.
long sent_request_bytes(CURL* easy) {
    long size = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &size);
    return size;
}

/// Whether the exchange used a connection that had carried an earlier one.
bool is_on_reused_connection(CURL* easy) {
    long opened = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &opened);
    return opened == 0;
}

/// libcurl reports an exchange as successful whose connection is closed in order inside the head,
/// so its result says nothing of the head.
bool is_response_whole(const exchange& current, body_framing framing) {
    if (current.request.is_connect_only) {
        return true;
    }
    const bool is_body_whole =
        framing != body_framing::length || current.body_bytes == *current.head.content_length;
    return is_final_head_whole(current.head) && is_body_whole;
}

/// libcurl reads the status line first and rejects most invalid ones itself, before it hands any
/// line on. Their server has answered, so they must not look like a lost connection.
bool is_malformed(const exchange& current, CURLcode code) {
    const bool is_rejected_by_libcurl =
        code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY;
    return current.head.defect != head_defect::none ||
           (is_rejected_by_libcurl && sent_request_bytes(current.easy) > 0 &&
            !is_final_head_whole(current.head));
}

std::string describe_failure(const exchange& current, CURLcode code) {
    if (current.head.defect != head_defect::none) {
        return "the response is malformed: " + std::string(name(current.head.defect));
    }
    if (code == CURLE_OK) {
        return "the connection ended inside the response";
    }
    return current.error_text[0] != '\0' ? current.error_text.data() : curl_easy_strerror(code);
}

http_outcome make_outcome(exchange& current, CURLcode code) {
    http_outcome outcome;
    outcome.status = current.head.status;
    outcome.is_malformed = is_malformed(current, code);
    outcome.is_cancelled = current.is_aborted;
    outcome.is_timed_out = code == CURLE_OPERATION_TIMEDOUT;
    outcome.framing = find_framing(current.head, current.request.method == "HEAD");
    outcome.is_head_whole = is_final_head_whole(current.head);
    outcome.body_bytes = current.body_bytes;
    outcome.is_connection_reused = is_on_reused_connection(current.easy);
    outcome.is_complete = code == CURLE_OK && is_response_whole(current, outcome.framing);
    if (outcome.is_complete) {
        outcome.verdict = run_verdict::ran;
        return outcome;
    }
    // A request of which no byte was sent cannot have run.
    outcome.verdict =
        sent_request_bytes(current.easy) > 0 ? run_verdict::may_have_run : run_verdict::not_run;
    outcome.message = describe_failure(current, code);
    return outcome;
}

} // namespace

/// Owns the exchanges in progress. add(), cancel(), post(), post_after() and size() may be called
/// from any thread; the other functions run on the loop's thread.
class http_client::worker {
public:
    explicit worker(std::size_t buffer_limit)
        : buffers_(std::make_shared<buffer_budget>(buffer_limit)) {}
    ~worker() {
        loop_.stop();
        for (auto& entry : exchanges_) {
            loop_.remove(entry.second->easy);
        }
    }

    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void add(std::unique_ptr<exchange> added) {
        ++exchange_count_;
        // std::function requires a copyable function object, so it holds a shared_ptr.
        loop_.post([this, current = std::shared_ptr<exchange>(std::move(added))] {
            set_up_handle(*current);
            current->buffers = buffers_;
            exchanges_[current->id] = current;
            loop_.add(current->easy);
        });
    }

    void cancel(std::uint64_t id) {
        loop_.post([this, id] {
            const auto found = exchanges_.find(id);
            if (found != exchanges_.end()) {
                found->second->is_aborted = true;
                finish(id, CURLE_ABORTED_BY_CALLBACK);
            }
        });
    }

    void post(std::function<void()> work) { loop_.post(std::move(work)); }

    void post_after(milliseconds delay, std::function<void()> work) {
        loop_.post_after(delay, std::move(work));
    }

    const std::shared_ptr<buffer_budget>& buffers() const noexcept { return buffers_; }

    std::size_t size() const { return exchange_count_; }

    bool is_on_reused_connection(std::uint64_t id) const {
        const auto found = exchanges_.find(id);
        return found != exchanges_.end() &&
               citronseam::is_on_reused_connection(found->second->easy);
    }

    bool is_sent(std::uint64_t id) const {
        const auto found = exchanges_.find(id);
        return found != exchanges_.end() && sent_request_bytes(found->second->easy) > 0;
    }

private:
    void handle_done(CURL* easy, CURLcode code) {
        exchange* current = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &current);
        finish(current->id, code);
    }

    void finish(std::uint64_t id, CURLcode code) {
        const std::shared_ptr<exchange> current = exchanges_.at(id);
        const http_outcome outcome = make_outcome(*current, code);
        if (outcome.is_complete) {
            report_head(*current);
        }
        loop_.remove(current->easy);
        exchanges_.erase(id);
        --exchange_count_;
        if (current->observer.on_done) {
            current->observer.on_done(outcome);
        }
    }

    const std::shared_ptr<buffer_budget> buffers_;
    std::atomic<std::size_t> exchange_count_{0};
    std::map<std::uint64_t, std::shared_ptr<exchange>> exchanges_;
    transfer_loop loop_{[this](CURL* easy, CURLcode code) { handle_done(easy, code); }};
};

http_client::http_client(std::size_t buffer_limit) {
    init_libcurl();
    worker_ = std::make_shared<worker>(buffer_limit);
}

http_client::~http_client() = default;

std::uint64_t http_client::send(http_request request, http_observer observer) {
    static std::atomic<std::uint64_t> counter{0};
    auto current = std::make_unique<exchange>();
    const std::uint64_t id = ++counter;
    current->id = id;
    current->request = std::move(request);
    current->observer = std::move(observer);
    worker_->add(std::move(current));
    return id;
}

std::uint64_t http_client::fetch(http_request request, std::size_t max_body_size,
                                 std::function<void(http_response)> on_response) {
    auto response = std::make_shared<http_response>();
    http_observer observer;
    observer.on_head = [response](int, const std::vector<http_header>& headers) {
        response->headers = headers;
    };
    const auto share = std::make_shared<buffer_share>();
    observer.on_data = [response, share, budget = buffers(), max_body_size](std::string_view data) {
        const std::size_t size = response->body.size() + data.size();
        if (size > max_body_size || !share->resize(budget, size)) {
            return false;
        }
        response->body += data;
        return true;
    };
    observer.on_done = [response,
                        on_response = std::move(on_response)](const http_outcome& outcome) {
        response->outcome = outcome;
        on_response(std::move(*response));
    };
    return send(std::move(request), std::move(observer));
}

void http_client::cancel(std::uint64_t id) {
    worker_->cancel(id);
}

void http_client::post(std::function<void()> work) {
    worker_->post(std::move(work));
}

void http_client::post_after(milliseconds delay, std::function<void()> work) {
    worker_->post_after(delay, std::move(work));
}

bool http_client::is_on_reused_connection(std::uint64_t id) const {
    return worker_->is_on_reused_connection(id);
}

const std::shared_ptr<buffer_budget>& http_client::buffers() const noexcept {
    return worker_->buffers();
}

bool http_client::is_sent(std::uint64_t id) const {
    return worker_->is_sent(id);
}

std::size_t http_client::active_count() const {
    return worker_->size();
}

http_response fetch_blocking(http_client& client, http_request request, std::size_t max_body_size) {
    std::promise<http_response> promise;
    client.fetch(std::move(request), max_body_size,
                 [&promise](http_response response) { promise.set_value(std::move(response)); });
    return promise.get_future().get();
}

std::string find_header(const std::vector<http_header>& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
        return equals_ignoring_case(header.name, name);
    });
    return found == headers.end() ? std::string{} : found->value;
}

std::string join_headers(const std::vector<http_header>& headers, std::string_view name) {
    std::string list;
    for (const http_header& header : headers) {
        if (equals_ignoring_case(header.name, name)) {
            list += (list.empty() ? "" : ",") + header.value;
        }
    }
    return list;
}

} // namespace citronseam
