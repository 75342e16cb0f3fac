// Stand-in for a model engine: streams completions as server-sent events, simulates a cold start,
// and loads weights on requests that carry a fencing token.
#include <deque>
#include <map>

#include <unistd.h>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/log.h"
#include "citronseam/process/random.h"
#include "citronseam/version/manifest.h"
#include "programs/standin/standin_server.h"

namespace citronseam::standin {
namespace {

constexpr std::size_t shown_version_length = 12;
/// Number of versions whose weights are kept, so that a load request for a superseded version could
/// still be executed.
constexpr std::size_t max_staged_versions = 4;
/// A prompt with this word ends the process, to simulate a request that crashes engines.
constexpr std::string_view crash_prompt_word = "crash-the-engine";

/// A completion in progress.
struct completion {
    std::shared_ptr<http_responder> responder;
    std::string prompt_digest;
    std::string version;
    std::string text;
    int token_count{0};
    int tokens_sent{0};
    bool is_stream{false};
    bool is_to_be_aborted{false};
};

class engine {
public:
    explicit engine(const engine_options& options) : options_(options), cache_(options.cache) {
        auto random = seeded_random_source();
        boot_id_ = unique_identifier(random);
    }

    void attach(standin_server& server) { server_ = &server; }

    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        const std::lock_guard<std::mutex> lock(mutex_);
        apply_cold_fault();
        if (request.path == "/v1/completions") {
            start_completion(request, responder);
        } else if (request.path == "/admin/status") {
            respond_json(*responder, 200, status());
        } else if (request.path == "/admin/cache/events") {
            const std::uint64_t after = std::stoull("0" + query_parameter(request, "after"));
            respond_json(*responder, 200, cache_.events(after, std::chrono::steady_clock::now()));
        } else if (request.path.rfind("/admin/weights/", 0) == 0) {
            chunks_[request.path.substr(std::string_view("/admin/weights/").size())] = request.body;
            respond_json(*responder, 200, {{"ok", true}});
        } else if (request.path == "/admin/load") {
            handle_load_request(request, responder);
        } else {
            respond_json(*responder, 404, {{"error", "no such path"}});
        }
    }

private:
    nlohmann::json status() const {
        return {{"version", version_},
                {"warm", is_warm()},
                {"running", running_},
                {"boot", boot_id_},
                {"fencing", fencing_token_},
                {"served", response_count_},
                {"most_while_cold", max_running_while_cold_},
                {"loading", is_loading_},
                {"cache_hits", cache_hits_},
                {"cache_misses", cache_misses_}};
    }

    bool is_warm() const { return responses_since_cold_ >= options_.warmup_responses; }

    void apply_cold_fault() {
        if (server_->faults().is_cold_reset_requested.exchange(false)) {
            responses_since_cold_ = 0;
            server_->record_event({{"event", "turned_cold"}, {"running", running_}});
        }
    }

    int capacity() const { return is_warm() ? options_.warm_capacity : options_.cold_capacity; }

    /// Claims capacity for a request; responds with 503 or exits when there is none.
    /// @return whether the request may run
    bool admit(const std::shared_ptr<http_responder>& responder) {
        if (!is_warm()) {
            max_running_while_cold_ = std::max(max_running_while_cold_, running_ + 1);
        }
        if (running_ < capacity()) {
            ++running_;
            return true;
        }
        server_->record_event(
            {{"event", "overloaded"}, {"running", running_}, {"warm", is_warm()}});
        if (options_.exits_on_overload) {
            log_event(log_level::error, "exited_on_overload", {{"running", running_}});
            _exit(3);
        }
        respond_json(*responder, 503, {{"error", "overloaded"}}, {{"X-Engine-Overloaded", "1"}});
        return false;
    }

    void start_completion(const server_request& request,
                          const std::shared_ptr<http_responder>& responder) {
        const auto json = nlohmann::json::parse(request.body, nullptr, false);
        if (!json.is_object() || !json.contains("prompt")) {
            respond_json(*responder, 400, {{"error", "expected a JSON object with a prompt"}});
            return;
        }
        if (version_.empty() || is_loading_) {
            respond_json(*responder, 503, {{"error", "no model is loaded"}});
            return;
        }
        const std::string prompt = json.value("prompt", "");
        const std::string id = find_header(request.headers, "X-Request-Id");
        server_->record_event({{"event", "run"}, {"request", id}, {"version", version_}});
        if (prompt.find(crash_prompt_word) != std::string::npos) {
            log_event(log_level::error, "crashed_by_request", {{"request", id}});
            _exit(4);
        }
        if (!admit(responder)) {
            return;
        }
        auto current = std::make_shared<completion>();
        current->responder = responder;
        current->prompt_digest = std::to_string(hash_text(prompt) % 1000000007ULL);
        current->version = version_;
        current->token_count = json.value("max_tokens", 16);
        current->is_stream = json.value("stream", false);
        current->is_to_be_aborted = consume_one(server_->faults().truncated_responses);
        schedule_token(current,
                       options_.first_token_ms *
                           (look_up_prefix(request) ? 1 : options_.cache_miss_delay_factor));
    }

    /// Looks up the prompt prefix in the cache and stores it on a miss.
    /// @return whether it was cached
    bool look_up_prefix(const server_request& request) {
        const std::string key = find_header(request.headers, "X-Cache-Key");
        if (key.empty()) {
            return false;
        }
        const bool is_hit = cache_.touch(key, std::chrono::steady_clock::now());
        ++(is_hit ? cache_hits_ : cache_misses_);
        return is_hit;
    }

    void schedule_token(const std::shared_ptr<completion>& current, int delay_ms) {
        const int factor = is_warm() ? 1 : options_.cold_delay_factor;
        server_->timers().post_after(milliseconds(delay_ms * factor), [this, current] {
            const std::lock_guard<std::mutex> lock(mutex_);
            handle_next_token(current);
        });
    }

    void handle_next_token(const std::shared_ptr<completion>& current) {
        if (!current->responder->is_open()) {
            --running_;
            server_->record_event({{"event", "caller_gone"}});
            return;
        }
        if (current->is_to_be_aborted && current->tokens_sent > current->token_count / 2) {
            --running_;
            current->responder->abort();
            return;
        }
        send_token(*current);
        if (current->tokens_sent < current->token_count) {
            schedule_token(current, options_.token_ms);
            return;
        }
        finish(*current);
    }

    std::string event_text(const completion& current) const {
        const nlohmann::json event = {{"object", "text_completion"},
                                      {"model", current.version.substr(0, shown_version_length)},
                                      {"choices",
                                       {{{"index", 0},
                                         {"text", " " + current.prompt_digest + "-" +
                                                      std::to_string(current.tokens_sent)}}}}};
        return event.dump();
    }

    void send_token(completion& current) {
        if (current.is_stream) {
            if (!current.responder->has_started()) {
                current.responder->begin(200, {{"Content-Type", "text/event-stream"},
                                               {"X-Model-Version", current.version}});
            }
            current.responder->write("data: " + event_text(current) + "\n\n");
        } else {
            current.text += " " + current.prompt_digest + "-" + std::to_string(current.tokens_sent);
        }
        ++current.tokens_sent;
    }

    void finish(completion& current) {
        --running_;
        ++response_count_;
        ++responses_since_cold_;
        if (current.is_stream) {
            current.responder->write("data: [DONE]\n\n");
            current.responder->finish();
            return;
        }
        const nlohmann::json body = {{"object", "text_completion"},
                                     {"model", current.version.substr(0, shown_version_length)},
                                     {"choices", {{{"index", 0}, {"text", current.text}}}}};
        respond_json(*current.responder, 200, body, {{"X-Model-Version", current.version}});
    }

    void handle_load_request(const server_request& request,
                             const std::shared_ptr<http_responder>& responder) {
        const auto json = nlohmann::json::parse(request.body, nullptr, false);
        if (!json.is_object()) {
            respond_json(*responder, 400, {{"error", "expected a JSON object"}});
            return;
        }
        const std::string version = json.value("version", "");
        const std::uint64_t fencing_token = json.value("fencing", std::uint64_t{0});
        server_->record_event(
            {{"event", "order"}, {"version", version}, {"fencing", fencing_token}});
        if (options_.is_fencing_enforced && fencing_token < fencing_token_) {
            server_->record_event({{"event", "order_refused"}, {"fencing", fencing_token}});
            respond_json(*responder, 409, {{"error", "an order with a later number was taken"}});
            return;
        }
        const auto weights_manifest = parse_manifest(json.value("manifest", ""), version);
        if (!weights_manifest || !has_all_chunks(*weights_manifest, version) ||
            consume_one(server_->faults().failing_loads)) {
            respond_json(*responder, 422, {{"error", "the weights are not whole"}});
            return;
        }
        fencing_token_ = std::max(fencing_token_, fencing_token);
        is_loading_ = true;
        server_->timers().post_after(milliseconds(options_.load_ms), [this, version, responder] {
            const std::lock_guard<std::mutex> lock(mutex_);
            activate_version(version);
            respond_json(*responder, 200, {{"version", version}});
        });
    }

    bool has_all_chunks(const manifest& weights_manifest, const std::string& version) const {
        for (std::size_t i = 0; i < weights_manifest.chunks.size(); ++i) {
            const auto found = chunks_.find(version + "/" + std::to_string(i));
            if (found == chunks_.end() || !is_chunk_valid(weights_manifest, i, found->second)) {
                return false;
            }
        }
        return true;
    }

    void activate_version(const std::string& version) {
        is_loading_ = false;
        version_ = version;
        responses_since_cold_ = 0;
        cache_.clear(std::chrono::steady_clock::now());
        staged_versions_.push_back(version);
        if (staged_versions_.size() > max_staged_versions) {
            std::erase_if(chunks_, [&](const auto& entry) {
                return entry.first.rfind(staged_versions_.front() + "/", 0) == 0;
            });
            staged_versions_.pop_front();
        }
        server_->record_event({{"event", "version"}, {"version", version}, {"running", running_}});
    }

    std::mutex mutex_;
    engine_options options_;
    std::string boot_id_;
    std::string version_;
    std::uint64_t fencing_token_{0};
    bool is_loading_{false};
    int running_{0};
    int response_count_{0};
    int responses_since_cold_{0};
    int max_running_while_cold_{0};
    prefix_cache cache_;
    int cache_hits_{0};
    int cache_misses_{0};
    std::map<std::string, std::string> chunks_;
    std::deque<std::string> staged_versions_;
    standin_server* server_{nullptr};
};

} // namespace

int run_engine(const engine_options& options) {
    engine service(options);
    return serve("engine", options.address, service, options.prints_record);
}

} // namespace citronseam::standin
