// Connections of a chunk_swarm: handshakes, inventories, and replies to other agents.
#include "citronseam/process/log.h"
#include "citronseam/version/chunk_bitmap.h"
#include "programs/swarm/chunk_swarm.h"

namespace citronseam {

chunk_swarm::chunk_swarm(swarm_context context, std::function<shared_frame()> hello)
    : context_(std::move(context)), make_hello_(std::move(hello)), random_(seeded_random_source()) {
    chunks_.limit_bytes = context_.weight_memory;
    listener_ = std::make_shared<peer_listener>(
        context_.traffic.context(), *parse_host_port(context_.address),
        [this](asio::ip::tcp::socket socket) {
            std::make_shared<peer_session>(std::move(socket), make_hello_(), context_.timing,
                                           make_observer())
                ->start();
        });
}

void chunk_swarm::start() {
    dialer_ = std::make_shared<dialer>(context_.traffic.context(), make_hello_, context_.timing,
                                       make_observer());
    listener_->start();
}

void chunk_swarm::stop() {
    listener_->close();
    dialer_->stop();
}

std::uint16_t chunk_swarm::port() const {
    return listener_->port();
}

session_observer chunk_swarm::make_observer() {
    session_observer observer;
    observer.on_hello = [this](const session_pointer& session, const wire::hello& hello) {
        handle_hello(session, hello);
    };
    observer.on_message = [this](const session_pointer& session, const wire::envelope& message) {
        handle_message(session, message);
    };
    observer.on_closed = [this](const session_pointer& session, close_reason) {
        handle_closed(session);
    };
    observer.make_heartbeat = [this](const session_pointer& session) {
        if (context_.count_bytes) {
            context_.count_bytes(*session);
        }
        return make_frame(wire::heartbeatT{});
    };
    return observer;
}

void chunk_swarm::handle_hello(const session_pointer& session, const wire::hello& hello) {
    if (hello.role() != context_.role || view(hello.service()) != context_.service) {
        session->close(close_reason::wrong_protocol);
        return;
    }
    context_.control.post([this, session, instance = std::string(view(hello.instance()))] {
        connected_agent agent;
        agent.session = session;
        agent.instance = instance;
        agents_[session->number()] = std::move(agent);
        send_inventory(agents_[session->number()], true);
    });
}

void chunk_swarm::handle_message(const session_pointer& session, const wire::envelope& message) {
    const std::uint64_t number = session->number();
    if (const auto* inventory = message.body_as_inventory()) {
        context_.control.post([this, number, version = std::string(view(inventory->manifest())),
                               held = std::string(view(inventory->held())),
                               is_question = inventory->is_question()] {
            handle_inventory(number, version, held, is_question);
        });
    } else if (const auto* request = message.body_as_chunk_request()) {
        context_.control.post([this, number, version = std::string(view(request->manifest())),
                               chunk = std::size_t{request->index()}] {
            handle_chunk_request(number, version, chunk);
        });
    } else if (const auto* question = message.body_as_piece_list_request()) {
        context_.control.post([this, number, version = std::string(view(question->manifest()))] {
            handle_manifest_request(number, version);
        });
    } else if (const auto* list = message.body_as_piece_list_reply()) {
        wire::piece_list_replyT copy;
        list->UnPackTo(&copy);
        context_.control.post(
            [this, number, copy = std::move(copy)] { handle_list_reply(number, copy); });
    } else if (const auto* reply = message.body_as_chunk_reply()) {
        context_.control.post([this, number, version = std::string(view(reply->manifest())),
                               chunk = std::size_t{reply->index()}, is_found = reply->found(),
                               content = std::string(view(reply->data()))]() mutable {
            handle_chunk_reply(number, version, chunk, is_found, std::move(content));
        });
    }
}

void chunk_swarm::handle_closed(const session_pointer& session) {
    context_.control.post([this, number = session->number()] {
        const auto found = agents_.find(number);
        if (found == agents_.end()) {
            return;
        }
        for (const auto& [chunk, requested_at] : found->second.requested_at) {
            if (chunk < is_wanted_.size()) {
                set_wanted(chunk);
            }
        }
        agents_.erase(found);
        request_chunks();
    });
}

void chunk_swarm::send_inventories() {
    if (!is_inventory_changed_) {
        return;
    }
    is_inventory_changed_ = false;
    for (auto& [number, agent] : agents_) {
        send_inventory(agent, false);
    }
}

void chunk_swarm::send_inventory(connected_agent& agent, bool is_question) const {
    if (current_.name.empty() || is_origin_only()) {
        return;
    }
    const std::string packed = pack_chunk_bitmap(current_.is_held);
    wire::inventoryT message;
    message.manifest = current_.name;
    message.held.assign(packed.begin(), packed.end());
    message.is_question = is_question;
    agent.session->send(make_frame(std::move(message)));
}

void chunk_swarm::handle_inventory(std::uint64_t session, const std::string& version,
                                   const std::string& held, bool is_question) {
    const auto found = agents_.find(session);
    if (found == agents_.end() || version != current_.name) {
        return;
    }
    found->second.state.held = unpack_chunk_bitmap(held, current_.list.chunks.size());
    if (is_question) {
        send_inventory(found->second, false);
    }
    found->second.state.timed_out_chunks = 0;
    update_location(found->second);
    request_chunks();
}

void chunk_swarm::handle_chunk_request(std::uint64_t session, const std::string& version,
                                       std::size_t chunk) {
    const auto found = agents_.find(session);
    if (found == agents_.end()) {
        return;
    }
    wire::chunk_replyT reply;
    reply.manifest = version;
    reply.index = static_cast<std::uint32_t>(chunk);
    if (const held_version* held = find_version(version)) {
        if (const chunk_content content = held_chunk(*held, chunks_, chunk)) {
            reply.found = true;
            reply.data.assign(content->begin(), content->end());
        }
    }
    send_paced(found->second, make_frame(std::move(reply)));
}

const held_version* chunk_swarm::find_version(const std::string& version) const {
    if (version == current_.name) {
        return &current_;
    }
    return version == previous_.name ? &previous_ : nullptr;
}

void chunk_swarm::request_manifest(const std::string& version) {
    wire::piece_list_requestT request;
    request.manifest = version;
    const shared_frame frame = make_frame(std::move(request));
    for (const auto& [number, agent] : agents_) {
        agent.session->send(frame);
    }
}

void chunk_swarm::set_list_handler(list_handler handler) {
    on_list_ = std::move(handler);
}

void chunk_swarm::set_mismatch_handler(mismatch_handler handler) {
    on_mismatch_ = std::move(handler);
}

void chunk_swarm::handle_manifest_request(std::uint64_t session, const std::string& version) {
    const auto found = agents_.find(session);
    const held_version* known = find_version(version);
    if (found == agents_.end() || known == nullptr || known->list.chunks.empty()) {
        return;
    }
    wire::piece_list_replyT reply;
    reply.manifest = version;
    reply.chunk_size = known->list.chunk_size;
    for (const auto& piece : known->list.chunks) {
        reply.hashes.push_back(piece.hash);
    }
    const std::string packed = pack_chunk_bitmap(known->is_held);
    reply.held.assign(packed.begin(), packed.end());
    found->second.session->send(make_frame(std::move(reply)));
}

void chunk_swarm::handle_list_reply(std::uint64_t session, const wire::piece_list_replyT& reply) {
    const auto found = agents_.find(session);
    if (!on_list_ || found == agents_.end()) {
        return;
    }
    digest_list list;
    list.source = list_source::member;
    list.chunk_bytes = reply.chunk_size;
    list.digests = reply.hashes;
    list.confirmed =
        unpack_chunk_bitmap(std::string(reply.held.begin(), reply.held.end()), list.digests.size());
    on_list_(reply.manifest, list, found->second.instance);
}

void chunk_swarm::send_paced(const connected_agent& agent, shared_frame frame) {
    const session_pointer session = agent.session;
    const std::string region = region_of_member(agent.instance);
    context_.metric_registry.count("citronseam_weight_bytes_sent_total", {{"to_region", region}},
                                   static_cast<double>(frame->size()));
    const microseconds wait = reserve_send(pacer_, region, region == region_, frame->size(),
                                           std::chrono::steady_clock::now());
    if (wait.count() == 0) {
        session->send(std::move(frame));
        return;
    }
    context_.control.post_after(wait,
                                [session, frame = std::move(frame)] { session->send(frame); });
}

} // namespace citronseam
