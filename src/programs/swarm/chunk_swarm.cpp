#include "programs/swarm/chunk_swarm.h"

#include <map>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

/// Part of a second for which may be asked at once after a pause.
constexpr std::uint64_t asking_burst_share = 20;
/// Weight of the newest answer in a neighbour's time to answer.
constexpr double answer_smoothing = 0.3;

void note_answer(neighbour_state& neighbour, std::uint32_t took_ms) {
    const double newest = std::max<double>(took_ms, 1);
    neighbour.answer_ms =
        neighbour.answer_ms > 0
            ? neighbour.answer_ms + answer_smoothing * (newest - neighbour.answer_ms)
            : newest;
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
    choose_targets();
    for (auto& [number, agent] : agents_) {
        place(agent);
    }
    rank_chunks();
}

void chunk_swarm::choose_targets() {
    const auto neighbours =
        rates_.is_drawn_everywhere
            ? choose_neighbours_everywhere(context_.instance, region_, members_)
            : choose_neighbours(context_.instance, region_, origin_region_, members_);
    dialer::target_map targets;
    for (const auto& member : neighbours) {
        targets.emplace(member.instance, member.peer_address);
    }
    dialer_->set_targets(std::move(targets));
    senders_ = rates_.is_drawn_everywhere ? std::vector<swarm_member>{}
                                          : region_senders(region_, origin_region_, members_);
}

void chunk_swarm::set_rates(const swarm_rates& rates) {
    const time_point now = std::chrono::steady_clock::now();
    citronseam::set_rates(pacer_, {rates.own_link, rates.region_link, rates.uplink}, now);
    if (rates.downlink != rates_.downlink) {
        // A full bucket holds the pieces that may be under way at once.
        asking_ = make_bucket(rates.downlink, rates.downlink / asking_burst_share, now);
    }
    const bool is_other_policy = rates.spread != rates_.spread;
    rates_ = rates;
    if (is_other_policy) {
        rank_chunks();
    }
}

bool chunk_swarm::is_alone() const noexcept {
    return rates_.spread == spread_policy::origin;
}

void chunk_swarm::rank_chunks() {
    ranks_.resize(manifest_.chunks.size());
    origin_ranks_.clear();
    if (rates_.is_drawn_everywhere && members_.empty()) {
        // Until the others are known each would draw everything for itself.
        origin_ranks_.assign(ranks_.size(), 1);
    } else if (rates_.is_drawn_everywhere) {
        origin_ranks_ = origin_ranks(version_, ranks_.size(), context_.instance, members_);
    }
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        ranks_[i] = is_alone() ? 0 : draw_rank(version_, i, context_.instance, region_, members_);
    }
}

void chunk_swarm::prepare(const std::string& version, const manifest& list) {
    on_whole_ = nullptr;
    if (version != version_) {
        earlier_version_ = std::move(version_);
        earlier_manifest_ = std::move(manifest_);
    }
    version_ = version;
    manifest_ = list;
    keep_only(chunks_, {&manifest_, &earlier_manifest_});
    is_wanted_.assign(manifest_.chunks.size(), false);
    for (std::size_t i = 0; i < is_wanted_.size(); ++i) {
        is_wanted_[i] = find_chunk(chunks_, manifest_.chunks[i].hash) == nullptr;
    }
    rank_chunks();
    for (auto& [number, agent] : agents_) {
        agent.state = {};
        agent.asked.clear();
        place(agent);
        send_inventory(agent, true);
    }
    origin_requests_ = 0;
}

void chunk_swarm::fetch(const std::string& version, const manifest& list,
                        std::function<void()> on_whole) {
    prepare(version, list);
    on_whole_ = std::move(on_whole);
    far_since_.clear();
    fetch_began_at_ = std::chrono::steady_clock::now();
    last_progress_ = fetch_began_at_;
    finish_if_whole();
    ask_all();
}

void chunk_swarm::finish_if_whole() {
    if (is_fetching() && count_held(chunks_, manifest_) == manifest_.chunks.size()) {
        send_inventories();
        const auto done = std::exchange(on_whole_, nullptr);
        done();
    }
}

bool chunk_swarm::adopt(std::size_t chunk, std::string content) {
    if (chunk >= manifest_.chunks.size() || !is_chunk_valid(manifest_, chunk, content)) {
        return false;
    }
    add_valid(chunk, std::move(content));
    return true;
}

void chunk_swarm::end_fetch() {
    on_whole_ = nullptr;
}

std::string chunk_swarm::region_of_member(const std::string& instance) const {
    const auto found = std::find_if(members_.begin(), members_.end(), [&](const auto& member) {
        return member.instance == instance;
    });
    return found == members_.end() ? region_ : found->region;
}

/// Notes where an agent stands as seen from here.
void chunk_swarm::place(connected_agent& agent) const {
    agent.state.is_same_region = region_of_member(agent.instance) == region_;
    agent.state.sender.reset();
    for (std::size_t i = 0; i < senders_.size(); ++i) {
        if (senders_[i].instance == agent.instance) {
            agent.state.sender = i;
        }
    }
}

milliseconds chunk_swarm::patience() const {
    const std::uint64_t slowest = rates_.region_link > 0 && rates_.own_link > 0
                                      ? std::min(rates_.region_link, rates_.own_link)
                                      : std::max(rates_.region_link, rates_.own_link);
    return stall_timeout(manifest_.chunk_size, slowest, rates_.shortest_stall);
}

/// Notes which chunks are held by agents of other regions only.
/// @return by chunk how long that has been so
std::vector<milliseconds> chunk_swarm::note_far_chunks(time_point now) {
    std::vector<milliseconds> far_for(is_wanted_.size(), milliseconds(0));
    far_since_.resize(is_wanted_.size(), time_point{});
    for (std::size_t chunk = 0; chunk < is_wanted_.size(); ++chunk) {
        bool is_far = false;
        bool is_near = false;
        for (const auto& [number, agent] : agents_) {
            const bool is_held = chunk < agent.state.held.size() && agent.state.held[chunk];
            is_near = is_near || (is_held && agent.state.is_same_region);
            is_far = is_far || (is_held && !agent.state.is_same_region);
        }
        if (is_near || !is_far) {
            far_since_[chunk] = {};
        } else if (far_since_[chunk] == time_point{}) {
            far_since_[chunk] = now;
        } else {
            far_for[chunk] = std::chrono::duration_cast<milliseconds>(now - far_since_[chunk]);
        }
    }
    return far_for;
}

/// @return time since a member of the origin's region was last known
std::optional<milliseconds> chunk_swarm::since_origin_region(time_point now) const {
    if (origin_region_listed_at_ == time_point{}) {
        return std::nullopt;
    }
    return milliseconds(elapsed_ms(origin_region_listed_at_, now));
}

fetch_state chunk_swarm::make_state(std::vector<std::uint64_t>& sessions, time_point now) {
    fetch_state state;
    state.wanted = is_wanted_;
    state.ranks = ranks_;
    state.origin_ranks = origin_ranks_;
    if (rates_.is_drawn_everywhere) {
        state.far_for = note_far_chunks(now);
    }
    state.most_requests = rates_.most_requests;
    std::map<std::string_view, std::size_t> places;
    for (const auto& [number, agent] : agents_) {
        const auto [place, is_first] = places.emplace(agent.instance, sessions.size());
        if (is_first) {
            sessions.push_back(number);
            state.neighbours.push_back(agent.state);
        } else {
            // Two agents may have connected to each other at once; the newer connection counts.
            sessions[place->second] = number;
            state.neighbours[place->second] = agent.state;
        }
    }
    state.senders = senders_.size();
    state.level = draw_level(milliseconds(elapsed_ms(last_progress_, now)), patience());
    if (rates_.chunk_patience.count() > 0) {
        const milliseconds passed(elapsed_ms(fetch_began_at_, now));
        state.level = std::max(state.level, draw_level(passed, rates_.chunk_patience));
    }
    state.is_origin_near = is_alone() || is_origin_near(region_, origin_region_, members_,
                                                        since_origin_region(now), patience());
    state.origin_requests = origin_requests_;
    const bool is_settled =
        is_membership_settled(milliseconds(elapsed_ms(started_at_, now)),
                              milliseconds(elapsed_ms(members_changed_at_, now)), rates_.settling);
    state.origin_parallel = is_settled ? rates_.origin_parallel : 0;
    return state;
}

void chunk_swarm::ask_all() {
    if (!is_fetching()) {
        return;
    }
    std::vector<std::uint64_t> sessions;
    fetch_state state = make_state(sessions, std::chrono::steady_clock::now());
    const time_point now = std::chrono::steady_clock::now();
    while (wait_time(asking_, now).count() == 0) {
        const auto choice = choose_fetch(state, random_);
        if (!choice) {
            return;
        }
        take(asking_, manifest_.chunks[choice->chunk].size, now);
        state.wanted[choice->chunk] = false;
        is_wanted_[choice->chunk] = false;
        if (choice->neighbour) {
            ++state.neighbours[*choice->neighbour].requested;
            ask_neighbour(choice->chunk, sessions[*choice->neighbour]);
        } else {
            ++state.origin_requests;
            draw(choice->chunk);
        }
    }
}

void chunk_swarm::ask_neighbour(std::size_t chunk, std::uint64_t session) {
    connected_agent& agent = agents_.at(session);
    ++agent.state.requested;
    agent.asked[chunk] = std::chrono::steady_clock::now();
    wire::chunk_requestT request;
    request.manifest = version_;
    request.index = static_cast<std::uint32_t>(chunk);
    agent.session->send(make_frame(std::move(request)));
}

void chunk_swarm::draw(std::size_t chunk) {
    ++origin_requests_;
    http_request request = context_.make_draw(manifest_, chunk);
    request.receive_rate = rates_.origin;
    context_.http.fetch(std::move(request), largest_chunk_size,
                        [self = shared_from_this(), version = version_, chunk](http_answer answer) {
                            self->context_.control.post(
                                [self, version, chunk, answer = std::move(answer)] {
                                    self->take_drawn(version, chunk, answer);
                                });
                        });
}

void chunk_swarm::take_drawn(const std::string& version, std::size_t chunk,
                             const http_answer& answer) {
    origin_bytes_ += answer.body.size();
    if (version != version_) {
        return;
    }
    origin_requests_ -= origin_requests_ > 0 ? 1 : 0;
    if (answer.outcome.is_complete && is_chunk_valid(manifest_, chunk, answer.body)) {
        add_valid(chunk, answer.body);
        return;
    }
    if (answer.outcome.is_complete && answer.outcome.status < 300) {
        context_.numbers.count("citronseam_chunks_rejected_total", {{"source", "origin"}});
    }
    // It is asked for again by the next tick, so that an origin that is down is not hammered.
    is_wanted_[chunk] = find_chunk(chunks_, manifest_.chunks[chunk].hash) == nullptr;
}

void chunk_swarm::take_chunk(std::uint64_t session, const std::string& version, std::size_t chunk,
                             bool is_found, std::string content) {
    const auto found = agents_.find(session);
    if (found == agents_.end() || version != version_ || chunk >= is_wanted_.size()) {
        context_.numbers.count("citronseam_late_chunks_total");
        return;
    }
    const auto asked = found->second.asked.find(chunk);
    if (asked == found->second.asked.end()) {
        // A chunk that was given up on is as good as any: dropped, a busy link would carry the same
        // chunks again and again.
        context_.numbers.count("citronseam_late_chunks_total");
        if (is_found && is_missing(chunk) && is_chunk_valid(manifest_, chunk, content)) {
            add_valid(chunk, std::move(content));
        }
        return;
    }
    connected_agent& agent = found->second;
    agent.state.requested -= agent.state.requested > 0 ? 1 : 0;
    note_answer(agent.state, elapsed_ms(asked->second, std::chrono::steady_clock::now()));
    agent.asked.erase(asked);
    if (is_found && is_chunk_valid(manifest_, chunk, content)) {
        agent.state.late = 0;
        add_valid(chunk, std::move(content));
        return;
    }
    is_wanted_[chunk] = true;
    agent.state.held[chunk] = false;
    if (is_found) {
        ++agent.state.faults;
        context_.numbers.count("citronseam_chunks_rejected_total", {{"source", "agent"}});
        log_event(log_level::warning, "chunk_rejected",
                  {{"from", agent.instance}, {"chunk", chunk}, {"faults", agent.state.faults}});
    }
    ask_all();
}

void chunk_swarm::add_valid(std::size_t chunk, std::string content) {
    const std::string& hash = manifest_.chunks[chunk].hash;
    const std::uint64_t size = content.size();
    if (!add_chunk(chunks_, hash, std::make_shared<const std::string>(std::move(content)))) {
        log_event(log_level::error, "weight_memory_full",
                  {{"held", chunks_.used}, {"limit", chunks_.limit}, {"chunk", size}});
        end_fetch();
        return;
    }
    // The same content may stand at several places of a version.
    for (std::size_t i = 0; i < is_wanted_.size(); ++i) {
        is_wanted_[i] = is_wanted_[i] && manifest_.chunks[i].hash != hash;
    }
    last_progress_ = std::chrono::steady_clock::now();
    has_news_ = true;
    finish_if_whole();
    ask_all();
}

std::string chunk_swarm::describe_missing() const {
    for (std::size_t chunk = 0; chunk < is_wanted_.size(); ++chunk) {
        if (find_chunk(chunks_, manifest_.chunks[chunk].hash) != nullptr) {
            continue;
        }
        std::size_t near = 0;
        std::size_t far = 0;
        std::uint32_t requested = origin_requests_;
        std::size_t late = 0;
        for (const auto& [number, agent] : agents_) {
            requested += agent.state.requested;
            late += agent.state.late >= most_late ? 1 : 0;
            const bool is_held = chunk < agent.state.held.size() && agent.state.held[chunk];
            near += is_held && agent.state.is_same_region ? 1 : 0;
            far += is_held && !agent.state.is_same_region ? 1 : 0;
        }
        std::string text = "piece " + std::to_string(chunk);
        text += is_wanted_[chunk] ? " wanted" : " asked for";
        text += ", " + std::to_string(requested) + " under way, " + std::to_string(late) + " late";
        text += ", " + std::to_string(origin_requests_) + " at the origin";
        text += ", origin rank " +
                std::to_string(chunk < origin_ranks_.size() ? origin_ranks_[chunk] : 0);
        text += ", held by " + std::to_string(near) + " near and " + std::to_string(far) +
                " far of " + std::to_string(agents_.size());
        return text;
    }
    return {};
}

bool chunk_swarm::is_missing(std::size_t chunk) const {
    return find_chunk(chunks_, manifest_.chunks[chunk].hash) == nullptr;
}

void chunk_swarm::tick() {
    give_up_late(std::chrono::steady_clock::now());
    send_inventories();
    ask_all();
}

void chunk_swarm::give_up_late(time_point now) {
    const milliseconds longest = patience();
    for (auto& [number, agent] : agents_) {
        forgive_late(agent.state, milliseconds(elapsed_ms(agent.late_at, now)), longest);
        for (auto entry = agent.asked.begin(); entry != agent.asked.end();) {
            if (now - entry->second <= longest) {
                ++entry;
                continue;
            }
            ++agent.state.late;
            agent.late_at = now;
            note_answer(agent.state, elapsed_ms(entry->second, now));
            agent.state.requested -= agent.state.requested > 0 ? 1 : 0;
            if (entry->first < is_wanted_.size()) {
                is_wanted_[entry->first] = true;
            }
            context_.numbers.count("citronseam_chunks_late_total");
            entry = agent.asked.erase(entry);
        }
    }
}

} // namespace citronseam
