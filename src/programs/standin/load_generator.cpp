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

/// Latencies of one kind.
struct sample_set {
    std::vector<double> values;

    double quantile(double share) {
        if (values.empty()) {
            return 0;
        }
        std::sort(values.begin(), values.end());
        const auto last = static_cast<double>(values.size() - 1);
        return values[static_cast<std::size_t>(std::floor(share * last))];
    }

    nlohmann::json summary() {
        return {{"p50", quantile(0.5)},
                {"p95", quantile(0.95)},
                {"p99", quantile(0.99)},
                {"max", quantile(1.0)}};
    }
};

/// One request under way.
struct exchange_state {
    time_point sent;
    time_point last_token;
    int status{0};
    std::string body;
    std::string verdict;
    std::string refusal;
    std::string retry_after;
    std::vector<double> gaps;
    double first_ms{-1};
};

class load_run {
public:
    explicit load_run(const load_options& options) : options_(options) {}

    int run() {
        const auto total = static_cast<std::uint64_t>(options_.rate * options_.seconds);
        const time_point start = clock::now();
        for (std::uint64_t i = 0; i < total; ++i) {
            const auto offset =
                std::chrono::duration<double>(static_cast<double>(i) / options_.rate);
            std::this_thread::sleep_until(start +
                                          std::chrono::duration_cast<clock::duration>(offset));
            send(i);
        }
        wait_for_all();
        print(ms_between(start, clock::now()) / 1000);
        return short_answers_ == 0 ? 0 : 2;
    }

private:
    std::string prompt(std::uint64_t number) const {
        return options_.prompt_prefix + "-" + std::to_string(number);
    }

    http_request build(std::uint64_t number) const {
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
        if (running_.load() >= options_.most_running) {
            ++skipped_;
            return;
        }
        ++running_;
        ++sent_;
        auto state = std::make_shared<exchange_state>();
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
            if (state->first_ms < 0) {
                state->first_ms = ms_between(state->sent, now);
            } else {
                state->gaps.push_back(ms_between(state->last_token, now));
            }
            state->last_token = now;
            state->body += data;
            return true;
        };
        observer.on_done = [this, state, number](const http_outcome& outcome) {
            finish(*state, outcome, number);
        };
        clients_[number % client_count].send(build(number), std::move(observer));
    }

    /// Whether the answer is all of the answer to this request and nothing else.
    bool is_own_whole_answer(const exchange_state& state, std::uint64_t number) const {
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
        return is_of_one_version(state.body) &&
               (!options_.is_stream || state.body.find("[DONE]", position) != std::string::npos);
    }

    /// Every event of an answer names the version that gave it.
    static bool is_of_one_version(const std::string& body) {
        constexpr std::string_view mark = "\"model\":\"";
        constexpr std::size_t shown = 12;
        const auto first = body.find(mark);
        auto next = first;
        while (next != std::string::npos) {
            if (body.compare(next + mark.size(), shown, body, first + mark.size(), shown) != 0) {
                return false;
            }
            next = body.find(mark, next + mark.size());
        }
        return true;
    }

    void finish(exchange_state& state, const http_outcome& outcome, std::uint64_t number) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const double taken = ms_between(state.sent, clock::now());
        if (outcome.is_complete && state.status >= 200 && state.status < 300) {
            finish_answered(state, number, taken);
        } else if (outcome.is_complete) {
            ++refused_;
            refused_ms_.values.push_back(taken);
            ++verdicts_[state.verdict.empty() ? "none" : state.verdict];
            ++refusals_[state.refusal.empty() ? std::to_string(state.status) : state.refusal];
            without_retry_after_ += state.retry_after.empty() ? 1 : 0;
        } else {
            ++aborted_;
        }
        --running_;
        done_.notify_all();
    }

    void finish_answered(exchange_state& state, std::uint64_t number, double taken) {
        if (!is_own_whole_answer(state, number)) {
            ++short_answers_;
            return;
        }
        ++answered_;
        total_ms_.values.push_back(taken);
        first_ms_.values.push_back(state.first_ms);
        gap_ms_.values.insert(gap_ms_.values.end(), state.gaps.begin(), state.gaps.end());
    }

    void wait_for_all() {
        std::unique_lock<std::mutex> lock(mutex_);
        done_.wait(lock, [this] { return running_.load() == 0; });
    }

    void print(double seconds) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const nlohmann::ordered_json summary = {
            {"sent", sent_.load()},
            {"answered", answered_},
            {"refused", refused_},
            {"aborted", aborted_},
            {"short_answers", short_answers_},
            {"skipped", skipped_},
            {"seconds", seconds},
            {"verdicts", verdicts_},
            {"refusals", refusals_},
            {"refused_without_retry_after", without_retry_after_},
            {"total_ms", total_ms_.summary()},
            {"first_byte_ms", first_ms_.summary()},
            {"gap_ms", gap_ms_.summary()},
            {"refused_ms", refused_ms_.summary()}};
        std::cout << summary.dump() << std::endl;
    }

    load_options options_;
    std::array<http_client, client_count> clients_;
    std::mutex mutex_;
    std::condition_variable done_;
    std::atomic<int> running_{0};
    std::atomic<std::uint64_t> sent_{0};
    std::uint64_t answered_{0};
    std::uint64_t refused_{0};
    std::uint64_t aborted_{0};
    std::uint64_t short_answers_{0};
    std::uint64_t skipped_{0};
    std::uint64_t without_retry_after_{0};
    std::map<std::string, std::uint64_t> verdicts_;
    std::map<std::string, std::uint64_t> refusals_;
    sample_set total_ms_;
    sample_set first_ms_;
    sample_set gap_ms_;
    sample_set refused_ms_;
};

} // namespace

void add_load_options(CLI::App& app, load_options& options) {
    auto* load = app.add_subcommand("load", "send load and check every answer");
    load->add_option("--target", options.targets, "base URL of an entry, repeatable")->required();
    load->add_option("--service", options.service, "service to ask");
    load->add_option("--workspace", options.workspace, "workspace to send as");
    load->add_option("--method", options.method, "HTTP method");
    load->add_option("--path", options.path, "path, /v1/completions for engines");
    load->add_option("--prompt-prefix", options.prompt_prefix,
                     "start of each prompt and request id");
    load->add_option("--rate", options.rate, "requests a second")->check(CLI::PositiveNumber);
    load->add_option("--seconds", options.seconds, "how long")->check(CLI::Range(0.0, 120.0));
    load->add_option("--tokens", options.tokens, "tokens of each answer");
    load->add_option("--stream", options.is_stream, "whether answers are streamed");
    load->add_option("--keys", options.has_keys, "whether requests carry a key");
    load->add_option("--timeout-ms", options.timeout_ms, "time for one request");
    load->add_option("--most-running", options.most_running, "requests under way at most");
}

int run_load(const load_options& options) {
    return load_run(options).run();
}

} // namespace citronseam::standin
