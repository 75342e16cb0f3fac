#include "crashing_servers.hh"

namespace citronseam::review {

crashing_servers::crashing_servers(review_world& world, record& log, crash_kind kind)
    : world_(world), log_(log), kind_(kind) {}

crashing_servers::~crashing_servers() {
    for (auto& restart : restarts_) {
        restart.join();
    }
}

void crashing_servers::add(std::size_t number, const std::string& zone) {
    watch(world_.add_server("desk-" + std::to_string(number), zone), number);
}

std::vector<double> crashing_servers::arrivals() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
}

void crashing_servers::watch(listed_standin& listed, std::size_t number) {
    listed.server->set_arrival_handler([this, &listed, number](const std::string& attempt) {
        if (attempt.rfind(deadly_prefix, 0) != 0) {
            return;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        log_.write("request " + attempt + " reaches " + listed.server->id() + ", which " +
                   (kind_ == crash_kind::dark ? "goes dark" : "crashes"));
        arrivals_.push_back(log_.now_ms());
        if (kind_ == crash_kind::dark) {
            listed.front->blackhole_open_connections();
            listed.front->set_forwarding_paused(true);
        } else {
            listed.front->set_disconnected(true);
        }
        restarts_.emplace_back([this, &listed, number] { restart(listed, number); });
    });
}

/// The server comes back as a new incarnation with a new id.
void crashing_servers::restart(listed_standin& listed, std::size_t number) {
    std::this_thread::sleep_for(absence);
    const std::string id = "desk-" + std::to_string(number) + "-" + std::to_string(++incarnations_);
    world_.replace_server(listed, id, [&] { watch(listed, number); });
    log_.write(id + " starts");
}

} // namespace citronseam::review
