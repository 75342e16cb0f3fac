#include "programs/standin/load_generator.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/random.h"

namespace citronseam::standin {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t client_count = 4;

double ms_between(time_point from, time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// Samples of one latency metric, in milliseconds.
struct sample_set {
    std::vector<double> values;

    double quantile(double fraction) {
        if (values.empty()) {
            return 0;
        }
        std::sort(values.begin(), values.end());
        const auto last = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(std::floor(fraction * last))];
    }

    nlohmann::json summary() {
        return {{"p50", quantile(0.5)},
                {"p95", quantile(0.95)},
                {"p99", quantile(0.99)},
                {"max", quantile(1.0)}};
    }
};

/// A request in progress and its response so far.
struct request_state {
    time_point sent;
    time_point last_token;
    int status{0};
    std::string body;
    std::string verdict;
    std::string refusal;
    std::string retry_after;
    std::vector<double> gaps_ms;
    double first_byte_ms{-1};
};

class load_generator {
public:
    explicit load_generator(const load_options& options) : options_(options) {}

    int run() {
        const auto total =
            static_cast<std::uint64_t>(options_.requests_per_second * options_.duration_s);
        const time_point start = clock::now();
        for (std::uint64_t i = 0; i < total; ++i) {
            const auto offset = std::chrono::duration<double>(static_cast<double>(i) /
                                                              options_.requests_per_second);
            std::this_thread::sleep_until(start +
                                          std::chrono::duration_cast<clock::duration>(offset));
            send(i);
        }
        wait_for_all();
        print_summary(ms_between(start, clock::now()) / 1000);
        return incomplete_responses_ == 0 ? 0 : 2;
    }

private:
    std::string prompt(std::uint64_t number) const {
        return options_.prompt_prefix + "-" + std::to_string(number);
    }

    http_request build_request(std::uint64_t number) const {
        http_request request;
        request.method = options_.method;
        request.url = options_.targets[number % options_.targets.size()] + options_.path;
        request.timeout = milliseconds(options_.timeout_ms);
        const std::string id = options_.prompt_prefix + "-" + std::to_string(number);
        request.headers = {{"X-Workspace", options_.workspace}, {"X-Request-Id", id}};
        if (options_.has_keys) {
            request.headers.push_back({"Idempotency-Key", id});
        }
        if (options_.method == "POST" && options_.path == "/v1/completions") {
            request.headers.push_back({"Content-Type", "application/json"});
            request.body = nlohmann::json{{"model", options_.service},
                                          {"prompt", prompt(number)},
                                          {"max_tokens", options_.tokens},
                                          {"stream", options_.is_stream}}
                               .dump();
        } else if (options_.method == "POST") {
            request.body = id;
        }
        return request;
    }

    void send(std::uint64_t number) {
        if (in_flight_.load() >= options_.max_in_flight) {
            ++skipped_;
            return;
        }
        ++in_flight_;
        ++sent_;
        auto state = std::make_shared<request_state>();
        state->sent = clock::now();
        http_observer observer;
        observer.on_head = [state](int status, const std::vector<http_header>& headers) {
            state->status = status;
            state->verdict = find_header(headers, "X-Run-Verdict");
            state->refusal = find_header(headers, "X-Refusal");
            state->retry_after = find_header(headers, "Retry-After");
        };
        observer.on_data = [state](std::string_view data) {
            const time_point now = clock::now();
            if (state->first_byte_ms < 0) {
                state->first_byte_ms = ms_between(state->sent, now);
            } else {
                state->gaps_ms.push_back(ms_between(state->last_token, now));
            }
            state->last_token = now;
            state->body += data;
            return true;
        };
        observer.on_done = [this, state, number](const http_outcome& outcome) {
            finish(*state, outcome, number);
        };
        clients_[number % client_count].send(build_request(number), std::move(observer));
    }

    /// @return whether the body has all tokens of this request's prompt in order, from one model
    /// version, and the end marker of a stream. Other paths: whether the body is not empty
    bool is_complete_response(const request_state& state, std::uint64_t number) const {
        if (options_.path != "/v1/completions") {
            return !state.body.empty();
        }
        const std::string digest = std::to_string(hash_text(prompt(number)) % 1000000007ULL);
        std::size_t position = 0;
        for (int i = 0; i < options_.tokens; ++i) {
            const std::string token = " " + digest + "-" + std::to_string(i);
            position = state.body.find(token, position);
            if (position == std::string::npos) {
                return false;
            }
            position += token.size();
        }
        return has_single_version(state.body) &&
               (!options_.is_stream || state.body.find("[DONE]", position) != std::string::npos);
    }

    /// @return whether all events of a response have the same `model` value
    static bool has_single_version(const std::string& body) {
        constexpr std::string_view model_key = "\"model\":\"";
        constexpr std::size_t version_length = 12;
        const auto first = body.find(model_key);
        auto next = first;
        while (next != std::string::npos) {
            if (body.compare(next + model_key.size(), version_length, body,
                             first + model_key.size(), version_length) != 0) {
                return false;
            }
            next = body.find(model_key, next + model_key.size());
        }
        return true;
    }

    void finish(request_state& state, const http_outcome& outcome, std::uint64_t number) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const double elapsed_ms = ms_between(state.sent, clock::now());
        if (outcome.is_complete && state.status >= 200 && state.status < 300) {
            record_answered(state, number, elapsed_ms);
        } else if (outcome.is_complete) {
            ++refused_;
            refused_ms_.values.push_back(elapsed_ms);
            ++verdicts_[state.verdict.empty() ? "none" : state.verdict];
            ++refusals_[state.refusal.empty() ? std::to_string(state.status) : state.refusal];
            refused_without_retry_after_ += state.retry_after.empty() ? 1 : 0;
        } else {
            ++aborted_;
        }
        --in_flight_;
        done_.notify_all();
    }

    void record_answered(request_state& state, std::uint64_t number, double elapsed_ms) {
        if (!is_complete_response(state, number)) {
            ++incomplete_responses_;
            return;
        }
        ++answered_;
        total_ms_.values.push_back(elapsed_ms);
        first_byte_ms_.values.push_back(state.first_byte_ms);
        gap_ms_.values.insert(gap_ms_.values.end(), state.gaps_ms.begin(), state.gaps_ms.end());
    }

    void wait_for_all() {
        std::unique_lock<std::mutex> lock(mutex_);
        done_.wait(lock, [this] { return in_flight_.load() == 0; });
    }

    void print_summary(double seconds) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const nlohmann::ordered_json summary = {
            {"sent", sent_.load()},
            {"answered", answered_},
            {"refused", refused_},
            {"aborted", aborted_},
            {"short_answers", incomplete_responses_},
            {"skipped", skipped_},
            {"seconds", seconds},
            {"verdicts", verdicts_},
            {"refusals", refusals_},
            {"refused_without_retry_after", refused_without_retry_after_},
            {"total_ms", total_ms_.summary()},
            {"first_byte_ms", first_byte_ms_.summary()},
            {"gap_ms", gap_ms_.summary()},
            {"refused_ms", refused_ms_.summary()}};
        std::cout << summary.dump() << std::endl;
    }

    load_options options_;
    std::array<http_client, client_count> clients_;
    std::mutex mutex_;
    std::condition_variable done_;
    std::atomic<int> in_flight_{0};
    std::atomic<std::uint64_t> sent_{0};
    std::uint64_t answered_{0};
    std::uint64_t refused_{0};
    std::uint64_t aborted_{0};
    std::uint64_t incomplete_responses_{0};
    std::uint64_t skipped_{0};
    std::uint64_t refused_without_retry_after_{0};
    std::map<std::string, std::uint64_t> verdicts_;
    std::map<std::string, std::uint64_t> refusals_;
    sample_set total_ms_;
    sample_set first_byte_ms_;
    sample_set gap_ms_;
    sample_set refused_ms_;
};

} // namespace

void add_load_options(CLI::App& app, load_options& options) {
    auto* load = app.add_subcommand("load", "send load and check every response");
    load->add_option("--target", options.targets, "base URL of an entry, repeatable")->required();
    load->add_option("--service", options.service, "service name, sent as the model");
    load->add_option("--workspace", options.workspace, "workspace of the requests");
    load->add_option("--method", options.method, "HTTP method");
    load->add_option("--path", options.path, "request path, /v1/completions for engines");
    load->add_option("--prompt-prefix", options.prompt_prefix,
                     "prefix of each prompt and request id");
    load->add_option("--rate", options.requests_per_second, "requests per second")
        ->check(CLI::PositiveNumber);
    load->add_option("--seconds", options.duration_s, "duration in seconds")
        ->check(CLI::Range(0.0, 120.0));
    load->add_option("--tokens", options.tokens, "tokens per response");
    load->add_option("--stream", options.is_stream, "whether responses are streamed");
    load->add_option("--keys", options.has_keys, "whether requests have an Idempotency-Key");
    load->add_option("--timeout-ms", options.timeout_ms, "timeout of a request");
    load->add_option("--most-running", options.max_in_flight,
                     "maximum number of requests in flight");
}

int run_load(const load_options& options) {
    return load_generator(options).run();
}

} // namespace citronseam::standin
