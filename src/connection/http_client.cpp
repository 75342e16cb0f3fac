#include "citronseam/connection/http_client.h"
#include "citronseam/process/sizes.h"
#include "connection/transfer_loop.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>

#include <curl/curl.h>
#include <strings.h>

namespace citronseam {
namespace {

constexpr long receive_buffer_size = 64 * kibibyte;

bool is_same_name(std::string_view left, std::string_view right) {
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

void start_library() {
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

/// One exchange under way.
struct exchange {
    std::uint64_t number{0};
    http_request request;
    http_observer observer;
    CURL* easy{nullptr};
    curl_slist* header_list{nullptr};
    std::vector<http_header> headers;
    bool has_head{false};
    bool is_stopped{false};
    std::array<char, CURL_ERROR_SIZE> problem{};

    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange() {
        curl_slist_free_all(header_list);
        curl_easy_cleanup(easy);
    }
};

void announce_head(exchange& current) {
    if (current.has_head) {
        return;
    }
    current.has_head = true;
    long status = 0;
    curl_easy_getinfo(current.easy, CURLINFO_RESPONSE_CODE, &status);
    if (current.observer.on_head) {
        current.observer.on_head(static_cast<int>(status), current.headers);
    }
}

std::size_t take_header(char* data, std::size_t size, std::size_t count, void* user) {
    auto& current = *static_cast<exchange*>(user);
    const std::string_view line(data, size * count);
    if (line.rfind("HTTP/", 0) == 0) {
        // An interim answer such as 100 Continue is followed by another head.
        current.headers.clear();
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        current.headers.push_back({std::string(trimmed(line.substr(0, colon))),
                                   std::string(trimmed(line.substr(colon + 1)))});
    }
    return line.size();
}

std::size_t take_body(char* data, std::size_t size, std::size_t count, void* user) {
    auto& current = *static_cast<exchange*>(user);
    const std::string_view part(data, size * count);
    announce_head(current);
    if (current.observer.on_data && !current.observer.on_data(part)) {
        current.is_stopped = true;
        return 0;
    }
    return part.size();
}

void set_body(CURL* easy, const http_request& request) {
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (has_body) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void set_connection(CURL* easy, const http_request& request) {
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    // A path goes on as the caller wrote it, dots included.
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receive_buffer_size);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request.connect_timeout.count()));
    if (!request.may_reuse_connection) {
        // On a reused connection that breaks before the first byte of an answer libcurl sends the
        // request once more by itself, which would run it twice.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request.receive_rate > 0) {
        curl_easy_setopt(easy, CURLOPT_MAX_RECV_SPEED_LARGE,
                         static_cast<curl_off_t>(request.receive_rate));
    }
}

void set_headers(exchange& current) {
    for (const auto& header : current.request.headers) {
        const std::string line = header.name + ": " + header.value;
        current.header_list = curl_slist_append(current.header_list, line.c_str());
    }
    // An empty value keeps libcurl from adding a header of its own.
    for (const char* name : {"Accept", "Content-Type"}) {
        if (find_header(current.request.headers, name).empty()) {
            const std::string line = std::string(name) + ":";
            current.header_list = curl_slist_append(current.header_list, line.c_str());
        }
    }
    // Without this libcurl waits for "100 Continue" before it sends a larger body.
    current.header_list = curl_slist_append(current.header_list, "Expect:");
    curl_easy_setopt(current.easy, CURLOPT_HTTPHEADER, current.header_list);
}

void prepare(exchange& current) {
    current.easy = curl_easy_init();
    CURL* easy = current.easy;
    curl_easy_setopt(easy, CURLOPT_URL, current.request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &current);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, current.problem.data());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current);
    set_body(easy, current.request);
    set_connection(easy, current.request);
    set_headers(current);
}

/// Bytes of the request that left this process, the head included.
long sent_bytes(CURL* easy) {
    long size = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &size);
    return size;
}

http_outcome describe_outcome(exchange& current, CURLcode code) {
    http_outcome outcome;
    long status = 0;
    curl_easy_getinfo(current.easy, CURLINFO_RESPONSE_CODE, &status);
    outcome.status = static_cast<int>(status);
    outcome.is_complete = code == CURLE_OK;
    outcome.is_cancelled = current.is_stopped;
    outcome.is_timeout = code == CURLE_OPERATION_TIMEDOUT;
    if (code == CURLE_OK) {
        outcome.verdict = run_verdict::ran;
        return outcome;
    }
    // A request of which no byte was sent cannot have been run.
    outcome.verdict =
        sent_bytes(current.easy) > 0 ? run_verdict::may_have_run : run_verdict::not_run;
    outcome.message =
        current.problem[0] != '\0' ? current.problem.data() : curl_easy_strerror(code);
    return outcome;
}

} // namespace

/// The exchanges under way. All functions but add(), cancel() and size() run on the loop's thread.
class http_client::worker {
public:
    ~worker() {
        loop_.stop();
        for (auto& entry : running_) {
            loop_.remove(entry.second->easy);
        }
    }

    worker() = default;
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void add(std::unique_ptr<exchange> added) {
        ++size_;
        // A function object must be copyable, so it holds the exchange as shared.
        loop_.post([this, current = std::shared_ptr<exchange>(std::move(added))] {
            prepare(*current);
            running_[current->number] = current;
            loop_.add(current->easy);
        });
    }

    void cancel(std::uint64_t number) {
        loop_.post([this, number] {
            const auto found = running_.find(number);
            if (found != running_.end()) {
                found->second->is_stopped = true;
                finish(number, CURLE_ABORTED_BY_CALLBACK);
            }
        });
    }

    void post(std::function<void()> work) { loop_.post(std::move(work)); }

    void post_after(milliseconds delay, std::function<void()> work) {
        loop_.post_after(delay, std::move(work));
    }

    std::size_t size() const { return size_; }

private:
    void handle_done(CURL* easy, CURLcode code) {
        exchange* current = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &current);
        finish(current->number, code);
    }

    void finish(std::uint64_t number, CURLcode code) {
        const std::shared_ptr<exchange> current = running_.at(number);
        if (code == CURLE_OK) {
            announce_head(*current);
        }
        const http_outcome outcome = describe_outcome(*current, code);
        loop_.remove(current->easy);
        running_.erase(number);
        --size_;
        if (current->observer.on_done) {
            current->observer.on_done(outcome);
        }
    }

    std::atomic<std::size_t> size_{0};
    std::map<std::uint64_t, std::shared_ptr<exchange>> running_;
    transfer_loop loop_{[this](CURL* easy, CURLcode code) { handle_done(easy, code); }};
};

http_client::http_client() {
    start_library();
    worker_ = std::make_shared<worker>();
}

http_client::~http_client() = default;

std::uint64_t http_client::send(http_request request, http_observer observer) {
    static std::atomic<std::uint64_t> counter{0};
    auto current = std::make_unique<exchange>();
    const std::uint64_t number = ++counter;
    current->number = number;
    current->request = std::move(request);
    current->observer = std::move(observer);
    worker_->add(std::move(current));
    return number;
}

std::uint64_t http_client::fetch(http_request request, std::size_t largest_body,
                                 std::function<void(http_answer)> on_answer) {
    auto answer = std::make_shared<http_answer>();
    http_observer observer;
    observer.on_head = [answer](int, const std::vector<http_header>& headers) {
        answer->headers = headers;
    };
    observer.on_data = [answer, largest_body](std::string_view data) {
        answer->body += data;
        return answer->body.size() <= largest_body;
    };
    observer.on_done = [answer, on_answer = std::move(on_answer)](const http_outcome& outcome) {
        answer->outcome = outcome;
        on_answer(std::move(*answer));
    };
    return send(std::move(request), std::move(observer));
}

void http_client::cancel(std::uint64_t number) {
    worker_->cancel(number);
}

void http_client::post(std::function<void()> work) {
    worker_->post(std::move(work));
}

void http_client::post_after(milliseconds delay, std::function<void()> work) {
    worker_->post_after(delay, std::move(work));
}

std::size_t http_client::running() const {
    return worker_->size();
}

http_answer fetch_and_wait(http_client& client, http_request request, std::size_t largest_body) {
    std::promise<http_answer> promise;
    client.fetch(std::move(request), largest_body,
                 [&promise](http_answer answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
}

std::string find_header(const std::vector<http_header>& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto& header) {
        return is_same_name(header.name, name);
    });
    return found == headers.end() ? std::string{} : found->value;
}

} // namespace citronseam
