#include "programs/entry/backend_server_directory.h"

#include "citronseam/process/log.h"
#include "programs/entry/request_exchange.h"

namespace citronseam {

backend_server_directory::backend_server_directory(std::string zone,
                                                   const control_state_sync& state_sync,
                                                   metrics& process_metrics)
    : zone_(std::move(zone)), state_sync_(state_sync), metrics_(process_metrics) {}

bool backend_server_directory::add(const std::shared_ptr<backend_server_link>& link) {
    std::shared_ptr<backend_server_link> replaced;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& known = links_[link->instance()];
        if (known != nullptr && known->incarnation() > link->incarnation()) {
            return false;
        }
        replaced = std::exchange(known, link);
    }
    if (replaced != nullptr && replaced->incarnation() < link->incarnation()) {
        // A newer incarnation proves that the earlier process has ended.
        replaced->session()->close(close_reason::closed_locally);
    }
    log_event(log_level::info, "agent_connected",
              {{"instance", link->instance()},
               {"service", link->service()},
               {"availability_zone", link->availability_zone()},
               {"incarnation", link->incarnation()}});
    publish(link->service());
    return true;
}

void backend_server_directory::remove(const std::shared_ptr<backend_server_link>& link,
                                      close_reason reason) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = links_.find(link->instance());
        if (found != links_.end() && found->second == link) {
            links_.erase(found);
        }
    }
    link->load().is_accepting.store(false, std::memory_order_relaxed);
    log_event(log_level::info, "agent_lost",
              {{"instance", link->instance()}, {"reason", name(reason)}});
    publish(link->service());
    if (const auto dispatcher = find_dispatcher(link->service())) {
        dispatcher->remove_prefix_hints(*link);
    }
    for (const auto& [attempt, exchange] : link->close_and_take_exchanges()) {
        exchange->handle_connection_lost(attempt, reason);
    }
}

void backend_server_directory::update_is_accepting(backend_server_link& link) const {
    const control_view view = state_sync_.view();
    const agent_report report = link.report();
    const bool is_in_service =
        is_zone_in_service(*view, link.availability_zone(), std::chrono::steady_clock::now());
    link.load().is_accepting.store(is_in_service && report.is_ready && !report.is_leaving,
                                   std::memory_order_relaxed);
}

void backend_server_directory::handle_heartbeat(const std::shared_ptr<backend_server_link>& link,
                                                const wire::heartbeat& message) {
    link->handle_heartbeat(message);
    update_is_accepting(*link);
    if (const auto dispatcher = find_dispatcher(link->service())) {
        dispatcher->dispatch_waiting();
    }
}

void backend_server_directory::handle_cache_report(const backend_server_link& link,
                                                   const wire::cache_report& message) const {
    if (const auto dispatcher = find_dispatcher(link.service())) {
        dispatcher->handle_cache_report(link, message);
    }
}

void backend_server_directory::set_entry_count(std::uint32_t count) {
    if (entry_count_.exchange(count) == count) {
        return;
    }
    for (const auto& [service, dispatcher] : dispatchers()) {
        publish(service);
    }
}

void backend_server_directory::apply_control_state(const control_view& view) {
    if (view->accepted == nullptr) {
        return;
    }
    for (const auto& link : links()) {
        update_is_accepting(*link);
    }
    for (const auto& entry : view->accepted->content.services) {
        bool is_new = false;
        std::shared_ptr<service_dispatcher> dispatcher;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            auto& known = dispatchers_[entry.name];
            is_new = known == nullptr;
            if (is_new) {
                known = std::make_shared<service_dispatcher>(entry.name);
            }
            dispatcher = known;
        }
        dispatcher->set_limits(entry);
        if (is_new) {
            publish(entry.name);
        }
    }
}

void backend_server_directory::publish(const std::string& service) {
    const std::lock_guard<std::mutex> publishing(publish_mutex_);
    auto snapshot = std::make_shared<service_snapshot>();
    snapshot->pool.entry_count = entry_count_;
    for (const auto& link : links()) {
        if (link->service() != service) {
            continue;
        }
        const bool is_own = link->availability_zone() == zone_;
        auto& group = is_own ? snapshot->pool.own_zone : snapshot->pool.other_zones;
        group.push_back(&link->load());
        snapshot->links[&link->load()] = link;
        snapshot->by_session[link->session()->number()] = {&link->load(), is_own};
    }
    metrics_.set("citronseam_backend_servers", {{"service", service}},
                 static_cast<double>(snapshot->links.size()));
    if (const auto dispatcher = find_dispatcher(service)) {
        dispatcher->set_snapshot(std::move(snapshot));
    }
}

void backend_server_directory::tick(time_point now) {
    for (const auto& [service, dispatcher] : dispatchers()) {
        dispatcher->tick(now);
        metrics_.set("citronseam_waiting", {{"service", service}},
                     static_cast<double>(dispatcher->waiting()));
    }
}

std::shared_ptr<service_dispatcher>
backend_server_directory::find_dispatcher(const std::string& service) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = dispatchers_.find(service);
    return found == dispatchers_.end() ? nullptr : found->second;
}

std::map<std::string, std::shared_ptr<service_dispatcher>>
backend_server_directory::dispatchers() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return dispatchers_;
}

std::vector<std::shared_ptr<backend_server_link>> backend_server_directory::links() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::shared_ptr<backend_server_link>> all;
    for (const auto& [instance, link] : links_) {
        all.push_back(link);
    }
    return all;
}

} // namespace citronseam
