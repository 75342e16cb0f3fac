#include "programs/swarm/chunk_swarm.h"

#include <map>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// A full bucket holds 1/20 of a second's bytes.
constexpr std::uint64_t download_burst_divisor = 20;
/// Weight of the newest sample in the moving average of a neighbour's response time.
constexpr double response_time_smoothing = 0.3;

void record_response_time(neighbour_state& neighbour, std::uint32_t took_ms) {
    const double sample = std::max<double>(took_ms, 1);
    neighbour.response_time_ms =
        neighbour.response_time_ms > 0
            ? neighbour.response_time_ms +
                  response_time_smoothing * (sample - neighbour.response_time_ms)
            : sample;
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
    ranks_.resize(manifest_.chunks.size());
    origin_ranks_.clear();
    if (rates_.is_origin_used_by_all_regions && members_.empty()) {
        // With rank 0 for all chunks, each agent would fetch everything until it knows the others.
        origin_ranks_.assign(ranks_.size(), 1);
    } else if (rates_.is_origin_used_by_all_regions) {
        origin_ranks_ = origin_fetch_ranks(version_, ranks_.size(), context_.instance, members_);
    }
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        ranks_[i] = is_origin_only()
                        ? 0
                        : regional_fetch_rank(version_, i, context_.instance, region_, members_);
    }
}

void chunk_swarm::prepare(const std::string& version, const manifest& list) {
    on_complete_ = nullptr;
    if (version != version_) {
        previous_version_ = std::move(version_);
        previous_manifest_ = std::move(manifest_);
    }
    version_ = version;
    manifest_ = list;
    retain_chunks(chunks_, {&manifest_, &previous_manifest_});
    is_wanted_.assign(manifest_.chunks.size(), false);
    for (std::size_t i = 0; i < is_wanted_.size(); ++i) {
        is_wanted_[i] = find_chunk(chunks_, manifest_.chunks[i].hash) == nullptr;
    }
    update_ranks();
    for (auto& [number, agent] : agents_) {
        agent.state = {};
        agent.requested_at.clear();
        update_location(agent);
        send_inventory(agent, true);
    }
    origin_requests_ = 0;
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
    if (is_fetching() && count_held_chunks(chunks_, manifest_) == manifest_.chunks.size()) {
        send_inventories();
        const auto done = std::exchange(on_complete_, nullptr);
        done();
    }
}

bool chunk_swarm::add_local_chunk(std::size_t chunk, std::string content) {
    if (chunk >= manifest_.chunks.size() || !is_chunk_valid(manifest_, chunk, content)) {
        return false;
    }
    store_valid_chunk(chunk, std::move(content));
    return true;
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
    return stall_timeout(manifest_.chunk_size, slowest, rates_.min_stall_timeout);
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
    state.max_origin_requests = is_stable ? rates_.max_origin_requests : 0;
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
        consume_tokens(download_bucket_, manifest_.chunks[choice->chunk].size, now);
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
    request.manifest = version_;
    request.index = static_cast<std::uint32_t>(chunk);
    agent.session->send(make_frame(std::move(request)));
}

void chunk_swarm::request_from_origin(std::size_t chunk) {
    ++origin_requests_;
    http_request request = context_.make_origin_request(manifest_, chunk);
    request.max_receive_bytes_per_s = rates_.origin;
    context_.http.fetch(
        std::move(request), max_chunk_size,
        [self = shared_from_this(), version = version_, chunk](http_response response) {
            self->context_.control.post([self, version, chunk, response = std::move(response)] {
                self->handle_origin_chunk(version, chunk, response);
            });
        });
}

void chunk_swarm::handle_origin_chunk(const std::string& version, std::size_t chunk,
                                      const http_response& response) {
    origin_bytes_ += response.body.size();
    if (version != version_) {
        return;
    }
    origin_requests_ -= origin_requests_ > 0 ? 1 : 0;
    if (response.outcome.is_complete && is_chunk_valid(manifest_, chunk, response.body)) {
        store_valid_chunk(chunk, response.body);
        return;
    }
    if (response.outcome.is_complete && response.outcome.status < 300) {
        context_.metric_registry.count("citronseam_chunks_rejected_total", {{"source", "origin"}});
    }
    // Retried by the next tick(), so that an origin that is down is not flooded with requests.
    is_wanted_[chunk] = find_chunk(chunks_, manifest_.chunks[chunk].hash) == nullptr;
}

void chunk_swarm::handle_chunk_reply(std::uint64_t session, const std::string& version,
                                     std::size_t chunk, bool is_found, std::string content) {
    const auto found = agents_.find(session);
    if (found == agents_.end() || version != version_ || chunk >= is_wanted_.size()) {
        context_.metric_registry.count("citronseam_late_chunks_total");
        return;
    }
    const auto request = found->second.requested_at.find(chunk);
    if (request == found->second.requested_at.end()) {
        // A chunk whose request timed out is still used. Dropping it would make a busy link carry
        // the same chunks repeatedly.
        context_.metric_registry.count("citronseam_late_chunks_total");
        if (is_found && is_missing(chunk) && is_chunk_valid(manifest_, chunk, content)) {
            store_valid_chunk(chunk, std::move(content));
        }
        return;
    }
    connected_agent& agent = found->second;
    agent.state.outstanding_requests -= agent.state.outstanding_requests > 0 ? 1 : 0;
    record_response_time(agent.state,
                         elapsed_ms(request->second, std::chrono::steady_clock::now()));
    agent.requested_at.erase(request);
    if (is_found && is_chunk_valid(manifest_, chunk, content)) {
        agent.state.timed_out_chunks = 0;
        store_valid_chunk(chunk, std::move(content));
        return;
    }
    is_wanted_[chunk] = true;
    agent.state.held[chunk] = false;
    if (is_found) {
        ++agent.state.corrupt_chunks;
        context_.metric_registry.count("citronseam_chunks_rejected_total", {{"source", "agent"}});
        log_event(
            log_level::warning, "chunk_rejected",
            {{"from", agent.instance}, {"chunk", chunk}, {"faults", agent.state.corrupt_chunks}});
    }
    request_chunks();
}

void chunk_swarm::store_valid_chunk(std::size_t chunk, std::string content) {
    const std::string& hash = manifest_.chunks[chunk].hash;
    const std::uint64_t size = content.size();
    if (!add_chunk(chunks_, hash, std::make_shared<const std::string>(std::move(content)))) {
        log_event(log_level::error, "weight_memory_full",
                  {{"held", chunks_.used_bytes}, {"limit", chunks_.limit_bytes}, {"chunk", size}});
        stop_fetch();
        return;
    }
    // The same content may occur at several positions of a version.
    for (std::size_t i = 0; i < is_wanted_.size(); ++i) {
        is_wanted_[i] = is_wanted_[i] && manifest_.chunks[i].hash != hash;
    }
    last_progress_at_ = std::chrono::steady_clock::now();
    is_inventory_changed_ = true;
    finish_if_complete();
    request_chunks();
}

std::string chunk_swarm::describe_missing() const {
    for (std::size_t chunk = 0; chunk < is_wanted_.size(); ++chunk) {
        if (find_chunk(chunks_, manifest_.chunks[chunk].hash) != nullptr) {
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
        text += is_wanted_[chunk] ? " not requested" : " requested";
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

bool chunk_swarm::is_missing(std::size_t chunk) const {
    return find_chunk(chunks_, manifest_.chunks[chunk].hash) == nullptr;
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
                is_wanted_[entry->first] = true;
            }
            context_.metric_registry.count("citronseam_chunks_late_total");
            entry = agent.requested_at.erase(entry);
        }
    }
}

} // namespace citronseam
