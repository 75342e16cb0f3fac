#include "programs/swarm/chunk_swarm.h"

#include <map>

#include "citronseam/process/log.h"
#include "citronseam/version/sha256.h"

namespace citronseam {
namespace {

/// A full bucket holds 1/20 of a second's bytes.
constexpr std::uint64_t download_burst_divisor = 20;
/// Weight of the newest sample in the moving average of a neighbour's response time.
constexpr double response_time_smoothing = 0.3;
/// Two chunks of the origin in a row that do not match: more likely the list is wrong than both.
constexpr std::uint32_t origin_mismatches_until_delay = 2;
constexpr milliseconds initial_origin_delay{200};
constexpr milliseconds max_origin_delay{3200};

void record_response_time(neighbour_state& neighbour, std::uint32_t took_ms) {
    const double sample = std::max<double>(took_ms, 1);
    neighbour.response_time_ms =
        neighbour.response_time_ms > 0
            ? neighbour.response_time_ms +
                  response_time_smoothing * (sample - neighbour.response_time_ms)
            : sample;
}

/// @param mismatches in a row
/// @return time until the next request to the origin, which sends its bytes again and again
milliseconds origin_delay(std::uint32_t mismatches) {
    if (mismatches < origin_mismatches_until_delay) {
        return milliseconds(0);
    }
    constexpr std::uint32_t max_doublings = 4;
    const std::uint32_t doublings =
        std::min(mismatches - origin_mismatches_until_delay, max_doublings);
    return std::min(initial_origin_delay * (1 << doublings), max_origin_delay);
}

} // namespace

void chunk_swarm::set_members(std::vector<swarm_member> members, const std::string& region,
                              const std::string& origin_region) {
    const bool is_same = members == members_ && region == region_;
    if (std::any_of(members.begin(), members.end(), [&origin_region](const auto& member) {
            return member.region == origin_region;
        })) {
        origin_region_listed_at_ = std::chrono::steady_clock::now();
    }
    members_ = std::move(members);
    region_ = region;
    origin_region_ = origin_region;
    if (is_same) {
        return;
    }
    members_changed_at_ = std::chrono::steady_clock::now();
    update_connections();
    for (auto& [number, agent] : agents_) {
        update_location(agent);
    }
    update_ranks();
}

void chunk_swarm::update_connections() {
    const auto neighbours =
        rates_.is_origin_used_by_all_regions
            ? choose_neighbours_in_all_regions(context_.instance, region_, members_)
            : choose_neighbours(context_.instance, region_, origin_region_, members_);
    dialer::target_map targets;
    for (const auto& member : neighbours) {
        targets.emplace(member.instance, member.peer_address);
    }
    dialer_->set_targets(std::move(targets));
    senders_ = rates_.is_origin_used_by_all_regions
                   ? std::vector<swarm_member>{}
                   : region_senders(region_, origin_region_, members_);
}

void chunk_swarm::set_rates(const swarm_rates& rates) {
    const time_point now = std::chrono::steady_clock::now();
    citronseam::set_rates(pacer_, {rates.same_region_rate, rates.remote_region_rate, rates.uplink},
                          now);
    if (rates.downlink != rates_.downlink) {
        // A full bucket allows a burst of requests.
        download_bucket_ =
            make_bucket(rates.downlink, rates.downlink / download_burst_divisor, now);
    }
    const bool is_policy_changed = rates.chunk_source != rates_.chunk_source;
    rates_ = rates;
    if (is_policy_changed) {
        update_ranks();
    }
}

bool chunk_swarm::is_origin_only() const noexcept {
    return rates_.chunk_source == chunk_source_policy::origin;
}

void chunk_swarm::update_ranks() {
    ranks_.resize(current_.list.chunks.size());
    origin_ranks_.clear();
    if (rates_.is_origin_used_by_all_regions && members_.empty()) {
        // With rank 0 for all chunks, each agent would fetch everything until it knows the others.
        origin_ranks_.assign(ranks_.size(), 1);
    } else if (rates_.is_origin_used_by_all_regions) {
        origin_ranks_ =
            origin_fetch_ranks(current_.name, ranks_.size(), context_.instance, members_);
    }
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        ranks_[i] = is_origin_only() ? 0
                                     : regional_fetch_rank(current_.name, i, context_.instance,
                                                           region_, members_);
    }
}

void chunk_swarm::prepare(const std::string& version, const manifest& list) {
    on_complete_ = nullptr;
    const held_version* before = find_version(version);
    held_version next = make_held_version(version, list, chunks_, before);
    if (version != current_.name) {
        previous_ = std::move(current_);
    }
    current_ = std::move(next);
    retain_chunks(chunks_, {&current_.list, &previous_.list});
    is_wanted_.assign(current_.list.chunks.size(), false);
    for (std::size_t i = 0; i < is_wanted_.size(); ++i) {
        set_wanted(i);
    }
    update_ranks();
    for (auto& [number, agent] : agents_) {
        agent.state = {};
        agent.requested_at.clear();
        update_location(agent);
        send_inventory(agent, true);
    }
    origin_requests_ = 0;
    origin_mismatches_ = 0;
    origin_retry_at_ = {};
}

void chunk_swarm::set_wanted(std::size_t chunk) {
    is_wanted_[chunk] = !current_.is_held[chunk] && !current_.list.chunks[chunk].is_disputed;
}

bool chunk_swarm::amend(const std::string& version, const manifest& list) {
    if (version != current_.name) {
        return false;
    }
    const std::vector<std::size_t> changed = amend_list(current_, list);
    for (const std::size_t chunk : changed) {
        set_wanted(chunk);
    }
    if (changed.empty()) {
        return false;
    }
    origin_mismatches_ = 0;
    origin_retry_at_ = {};
    for (auto& [number, agent] : agents_) {
        // It may have sent the right bytes, for which no hash was known.
        agent.state.corrupt_chunks = 0;
        send_inventory(agent, true);
    }
    request_chunks();
    return true;
}

void chunk_swarm::fetch(const std::string& version, const manifest& list,
                        std::function<void()> on_complete) {
    prepare(version, list);
    on_complete_ = std::move(on_complete);
    remote_only_since_.clear();
    fetch_started_at_ = std::chrono::steady_clock::now();
    last_progress_at_ = fetch_started_at_;
    finish_if_complete();
    request_chunks();
}

void chunk_swarm::finish_if_complete() {
    if (is_fetching() && is_complete(current_)) {
        send_inventories();
        const auto done = std::exchange(on_complete_, nullptr);
        done();
    }
}

bool chunk_swarm::add_local_chunk(std::size_t chunk, std::string content) {
    return chunk < is_wanted_.size() && store_valid_chunk(chunk, content);
}

void chunk_swarm::stop_fetch() {
    on_complete_ = nullptr;
}

std::string chunk_swarm::region_of_member(const std::string& instance) const {
    const auto found = std::find_if(members_.begin(), members_.end(), [&](const auto& member) {
        return member.instance == instance;
    });
    return found == members_.end() ? region_ : found->region;
}

/// Updates whether an agent is in the same region and its index among the senders.
void chunk_swarm::update_location(connected_agent& agent) const {
    agent.state.is_same_region = region_of_member(agent.instance) == region_;
    agent.state.sender_index.reset();
    for (std::size_t i = 0; i < senders_.size(); ++i) {
        if (senders_[i].instance == agent.instance) {
            agent.state.sender_index = i;
        }
    }
}

milliseconds chunk_swarm::current_stall_timeout() const {
    const std::uint64_t slowest =
        rates_.remote_region_rate > 0 && rates_.same_region_rate > 0
            ? std::min(rates_.remote_region_rate, rates_.same_region_rate)
            : std::max(rates_.remote_region_rate, rates_.same_region_rate);
    return stall_timeout(current_.list.chunk_size, slowest, rates_.min_stall_timeout);
}

/// Tracks which chunks are held by agents of other regions only.
/// @return for each chunk, how long it has been held in other regions only
std::vector<milliseconds> chunk_swarm::track_remote_only_chunks(time_point now) {
    std::vector<milliseconds> remote_only_durations(is_wanted_.size(), milliseconds(0));
    remote_only_since_.resize(is_wanted_.size(), time_point{});
    for (std::size_t chunk = 0; chunk < is_wanted_.size(); ++chunk) {
        bool is_held_remotely = false;
        bool is_held_locally = false;
        for (const auto& [number, agent] : agents_) {
            const bool is_held = chunk < agent.state.held.size() && agent.state.held[chunk];
            is_held_locally = is_held_locally || (is_held && agent.state.is_same_region);
            is_held_remotely = is_held_remotely || (is_held && !agent.state.is_same_region);
        }
        if (is_held_locally || !is_held_remotely) {
            remote_only_since_[chunk] = {};
        } else if (remote_only_since_[chunk] == time_point{}) {
            remote_only_since_[chunk] = now;
        } else {
            remote_only_durations[chunk] =
                std::chrono::duration_cast<milliseconds>(now - remote_only_since_[chunk]);
        }
    }
    return remote_only_durations;
}

/// @return time since a member of the origin's region was last listed; nullopt: never
std::optional<milliseconds> chunk_swarm::since_origin_region_listed(time_point now) const {
    if (origin_region_listed_at_ == time_point{}) {
        return std::nullopt;
    }
    return milliseconds(elapsed_ms(origin_region_listed_at_, now));
}

fetch_state chunk_swarm::make_state(std::vector<std::uint64_t>& sessions, time_point now) {
    fetch_state state;
    state.wanted = is_wanted_;
    state.ranks = ranks_;
    state.origin_fetch_ranks = origin_ranks_;
    if (rates_.is_origin_used_by_all_regions) {
        state.remote_only_durations = track_remote_only_chunks(now);
    }
    state.max_requests = rates_.max_requests;
    std::map<std::string_view, std::size_t> positions;
    for (const auto& [number, agent] : agents_) {
        const auto [position, is_first] = positions.emplace(agent.instance, sessions.size());
        if (is_first) {
            sessions.push_back(number);
            state.neighbours.push_back(agent.state);
        } else {
            // Two agents may have connected to each other at once; the newer connection is used.
            sessions[position->second] = number;
            state.neighbours[position->second] = agent.state;
        }
    }
    state.sender_count = senders_.size();
    state.failover_level = compute_failover_level(milliseconds(elapsed_ms(last_progress_at_, now)),
                                                  current_stall_timeout());
    if (rates_.chunk_failover_delay.count() > 0) {
        const milliseconds elapsed(elapsed_ms(fetch_started_at_, now));
        state.failover_level = std::max(
            state.failover_level, compute_failover_level(elapsed, rates_.chunk_failover_delay));
    }
    state.has_direct_origin_access =
        is_origin_only() ||
        has_direct_origin_access(region_, origin_region_, members_, since_origin_region_listed(now),
                                 current_stall_timeout());
    state.origin_requests = origin_requests_;
    const bool is_stable = is_membership_stable(milliseconds(elapsed_ms(started_at_, now)),
                                                milliseconds(elapsed_ms(members_changed_at_, now)),
                                                rates_.settling_time);
    const bool may_use_origin = is_stable && now >= origin_retry_at_;
    state.max_origin_requests = may_use_origin ? rates_.max_origin_requests : 0;
    return state;
}

void chunk_swarm::request_chunks() {
    if (!is_fetching()) {
        return;
    }
    std::vector<std::uint64_t> sessions;
    fetch_state state = make_state(sessions, std::chrono::steady_clock::now());
    const time_point now = std::chrono::steady_clock::now();
    while (wait_time(download_bucket_, now).count() == 0) {
        const auto choice = choose_fetch(state, random_);
        if (!choice) {
            return;
        }
        consume_tokens(download_bucket_, current_.list.chunks[choice->chunk].size, now);
        state.wanted[choice->chunk] = false;
        is_wanted_[choice->chunk] = false;
        if (choice->neighbour) {
            ++state.neighbours[*choice->neighbour].outstanding_requests;
            request_from_neighbour(choice->chunk, sessions[*choice->neighbour]);
        } else {
            ++state.origin_requests;
            request_from_origin(choice->chunk);
        }
    }
}

void chunk_swarm::request_from_neighbour(std::size_t chunk, std::uint64_t session) {
    connected_agent& agent = agents_.at(session);
    ++agent.state.outstanding_requests;
    agent.requested_at[chunk] = std::chrono::steady_clock::now();
    wire::chunk_requestT request;
    request.manifest = current_.name;
    request.index = static_cast<std::uint32_t>(chunk);
    agent.session->send(make_frame(std::move(request)));
}

void chunk_swarm::request_from_origin(std::size_t chunk) {
    ++origin_requests_;
    http_request request = context_.make_origin_request(current_.list, chunk);
    request.max_receive_bytes_per_s = rates_.origin;
    context_.http.fetch(
        std::move(request), max_chunk_size,
        [self = shared_from_this(), version = current_.name, chunk](http_response response) {
            self->context_.control.post([self, version, chunk, response = std::move(response)] {
                self->handle_origin_chunk(version, chunk, response);
            });
        });
}

void chunk_swarm::handle_origin_chunk(const std::string& version, std::size_t chunk,
                                      const http_response& response) {
    origin_bytes_ += response.body.size();
    if (version != current_.name || chunk >= is_wanted_.size()) {
        return;
    }
    origin_requests_ -= origin_requests_ > 0 ? 1 : 0;
    const bool is_content = response.outcome.is_complete && response.outcome.status < 300;
    std::string content = is_content ? response.body : std::string();
    if (is_content && store_valid_chunk(chunk, content)) {
        origin_mismatches_ = 0;
        return;
    }
    if (is_content) {
        handle_origin_mismatch(chunk, content);
    }
    // Retried by the next tick(), so that an origin that is down is not flooded with requests.
    set_wanted(chunk);
}

/// Either the chunk is corrupt or the list is wrong. All that the origin sends is paid for.
void chunk_swarm::handle_origin_mismatch(std::size_t chunk, const std::string& content) {
    context_.metric_registry.count("citronseam_chunks_rejected_total", {{"source", "origin"}});
    ++origin_mismatches_;
    origin_retry_at_ = std::chrono::steady_clock::now() + origin_delay(origin_mismatches_);
    report_mismatch(chunk, list_source::origin, "origin", content);
}

void chunk_swarm::report_mismatch(std::size_t chunk, list_source source, const std::string& from,
                                  const std::string& content) {
    log_event(log_level::warning, "chunk_rejected",
              {{"from", from},
               {"version", current_.name},
               {"chunk", chunk},
               {"bytes", content.size()},
               {"hash", sha256_hex(content)},
               {"stated", current_.list.chunks[chunk].hash},
               {"alternatives", current_.list.chunks[chunk].alternatives.size()},
               {"disputed", current_.list.chunks[chunk].is_disputed}});
    if (!current_.list.is_identified && on_mismatch_) {
        on_mismatch_(current_.name, chunk, source);
    }
}

void chunk_swarm::handle_chunk_reply(std::uint64_t session, const std::string& version,
                                     std::size_t chunk, bool is_found, std::string content) {
    const auto found = agents_.find(session);
    if (found == agents_.end() || version != current_.name || chunk >= is_wanted_.size()) {
        context_.metric_registry.count("citronseam_late_chunks_total");
        return;
    }
    const auto request = found->second.requested_at.find(chunk);
    if (request == found->second.requested_at.end()) {
        // A chunk whose request timed out is still used. Dropping it would make a busy link carry
        // the same chunks repeatedly.
        context_.metric_registry.count("citronseam_late_chunks_total");
        if (is_found && !current_.is_held[chunk]) {
            store_valid_chunk(chunk, content);
        }
        return;
    }
    connected_agent& agent = found->second;
    agent.state.outstanding_requests -= agent.state.outstanding_requests > 0 ? 1 : 0;
    record_response_time(agent.state,
                         elapsed_ms(request->second, std::chrono::steady_clock::now()));
    agent.requested_at.erase(request);
    if (is_found && store_valid_chunk(chunk, content)) {
        agent.state.timed_out_chunks = 0;
        return;
    }
    set_wanted(chunk);
    if (chunk < agent.state.held.size()) {
        agent.state.held[chunk] = false;
    }
    if (is_found && !current_.is_held[chunk]) {
        handle_agent_mismatch(agent, chunk, content);
    }
    request_chunks();
}

/// Either the agent's chunk is corrupt or one of the two lists is wrong: it tells its own one.
void chunk_swarm::handle_agent_mismatch(connected_agent& agent, std::size_t chunk,
                                        const std::string& content) {
    ++agent.state.corrupt_chunks;
    context_.metric_registry.count("citronseam_chunks_rejected_total", {{"source", "agent"}});
    if (!current_.list.is_identified) {
        wire::piece_list_requestT request;
        request.manifest = current_.name;
        agent.session->send(make_frame(std::move(request)));
    }
    report_mismatch(chunk, list_source::member, agent.instance, content);
}

/// @param content moved from if it is stored
/// @return whether the content matches the manifest
bool chunk_swarm::store_valid_chunk(std::size_t chunk, std::string& content) {
    const std::uint64_t size = content.size();
    const chunk_outcome outcome = store_chunk(current_, chunks_, chunk, content);
    if (outcome == chunk_outcome::mismatch) {
        return false;
    }
    if (outcome == chunk_outcome::memory_full) {
        log_event(log_level::error, "weight_memory_full",
                  {{"held", chunks_.used_bytes}, {"limit", chunks_.limit_bytes}, {"chunk", size}});
        stop_fetch();
        return true;
    }
    for (std::size_t i = 0; i < is_wanted_.size(); ++i) {
        is_wanted_[i] = is_wanted_[i] && !current_.is_held[i];
    }
    last_progress_at_ = std::chrono::steady_clock::now();
    is_inventory_changed_ = true;
    finish_if_complete();
    request_chunks();
    return true;
}

std::string chunk_swarm::describe_missing() const {
    for (std::size_t chunk = 0; chunk < is_wanted_.size(); ++chunk) {
        if (current_.is_held[chunk]) {
            continue;
        }
        std::size_t local_holders = 0;
        std::size_t remote_holders = 0;
        std::uint32_t outstanding_requests = origin_requests_;
        std::size_t timed_out_chunks = 0;
        for (const auto& [number, agent] : agents_) {
            outstanding_requests += agent.state.outstanding_requests;
            timed_out_chunks += agent.state.timed_out_chunks >= max_timed_out_chunks ? 1 : 0;
            const bool is_held = chunk < agent.state.held.size() && agent.state.held[chunk];
            local_holders += is_held && agent.state.is_same_region ? 1 : 0;
            remote_holders += is_held && !agent.state.is_same_region ? 1 : 0;
        }
        std::string text = "chunk " + std::to_string(chunk);
        text += is_wanted_[chunk]                         ? " not requested"
                : current_.list.chunks[chunk].is_disputed ? " disputed"
                                                          : " requested";
        text += ", " + std::to_string(outstanding_requests) + " outstanding, " +
                std::to_string(timed_out_chunks) + " timed out";
        text += ", " + std::to_string(origin_requests_) + " at the origin";
        text += ", origin rank " +
                std::to_string(chunk < origin_ranks_.size() ? origin_ranks_[chunk] : 0);
        text += ", held by " + std::to_string(local_holders) + " local and " +
                std::to_string(remote_holders) + " remote of " + std::to_string(agents_.size());
        return text;
    }
    return {};
}

void chunk_swarm::tick() {
    expire_requests(std::chrono::steady_clock::now());
    send_inventories();
    request_chunks();
}

void chunk_swarm::expire_requests(time_point now) {
    const milliseconds timeout = current_stall_timeout();
    for (auto& [number, agent] : agents_) {
        readmit_timed_out_neighbour(agent.state, milliseconds(elapsed_ms(agent.timed_out_at, now)),
                                    timeout);
        for (auto entry = agent.requested_at.begin(); entry != agent.requested_at.end();) {
            if (now - entry->second <= timeout) {
                ++entry;
                continue;
            }
            ++agent.state.timed_out_chunks;
            agent.timed_out_at = now;
            record_response_time(agent.state, elapsed_ms(entry->second, now));
            agent.state.outstanding_requests -= agent.state.outstanding_requests > 0 ? 1 : 0;
            if (entry->first < is_wanted_.size()) {
                set_wanted(entry->first);
            }
            context_.metric_registry.count("citronseam_chunks_late_total");
            entry = agent.requested_at.erase(entry);
        }
    }
}

} // namespace citronseam
