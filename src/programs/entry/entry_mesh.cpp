#include "programs/entry/entry_mesh.h"

namespace citronseam {

void entry_mesh::add(const std::shared_ptr<peer_session>& session, const wire::hello& hello) {
    known_entry entry;
    entry.session = session;
    entry.address.instance = view(hello.instance());
    entry.address.availability_zone = view(hello.availability_zone());
    entry.address.http_address = view(hello.http_address());
    entry.incarnation = hello.incarnation();
    const std::lock_guard<std::mutex> lock(mutex_);
    by_session_[session->number()] = std::move(entry);
}

void entry_mesh::handle_heartbeat(std::uint64_t session, const wire::heartbeat& message) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = by_session_.find(session);
    if (found != by_session_.end()) {
        found->second.generation = message.generation();
        found->second.is_leaving = message.leaving();
        found->second.address.load = message.running();
    }
}

void entry_mesh::remove(std::uint64_t session) {
    const std::lock_guard<std::mutex> lock(mutex_);
    by_session_.erase(session);
}

void entry_mesh::broadcast(const shared_frame& frame) const {
    for (const auto& entry : list()) {
        entry.session->send(frame);
    }
}

std::vector<known_entry> entry_mesh::list() const {
    std::map<std::string, known_entry> latest;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [number, entry] : by_session_) {
        auto& known = latest[entry.address.instance];
        if (known.session == nullptr || entry.incarnation >= known.incarnation) {
            known = entry;
        }
    }
    std::vector<known_entry> entries;
    entries.reserve(latest.size());
    for (auto& [instance, entry] : latest) {
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::vector<std::shared_ptr<peer_session>> entry_mesh::sessions() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::shared_ptr<peer_session>> all;
    all.reserve(by_session_.size());
    for (const auto& [number, entry] : by_session_) {
        all.push_back(entry.session);
    }
    return all;
}

bool entry_mesh::is_known(std::uint64_t session) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return by_session_.count(session) > 0;
}

} // namespace citronseam
