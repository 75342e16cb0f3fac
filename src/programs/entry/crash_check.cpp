#include "programs/entry/crash_check.h"

#include <utility>
#include <vector>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/connection/wire_message.h"
#include "citronseam/process/log.h"
#include "citronseam/process/metrics.h"
#include "programs/entry/entry_mesh.h"

namespace citronseam {
namespace {

constexpr const char* checks_total = "citronseam_crash_checks_total";

} // namespace

crash_check::crash_check(io_thread_pool& traffic, const entry_mesh& mesh, metrics& process_metrics,
                         milliseconds max_wait)
    : traffic_(traffic), mesh_(mesh), metrics_(process_metrics), max_wait_(max_wait) {}

void crash_check::start(std::function<void()> done) {
    const auto sessions = mesh_.sessions();
    if (sessions.empty()) {
        done();
        return;
    }
    std::uint64_t number = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        number = ++last_number_;
        pending_check& check = pending_[number];
        check.done = std::move(done);
        for (const auto& session : sessions) {
            check.unanswered.insert(session->number());
        }
    }
    traffic_.post_after(max_wait_, [this, number] { expire(number); });
    wire::crash_checkT message;
    message.number = number;
    const shared_frame frame = make_frame(message);
    for (const auto& session : sessions) {
        if (!session->send(frame)) {
            remove_session(number, session->number());
        }
    }
}

void crash_check::handle_reply(std::uint64_t session, std::uint64_t number) {
    remove_session(number, session);
}

void crash_check::handle_session_lost(std::uint64_t session) {
    std::vector<std::uint64_t> numbers;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [number, check] : pending_) {
            numbers.push_back(number);
        }
    }
    for (const std::uint64_t number : numbers) {
        remove_session(number, session);
    }
}

void crash_check::remove_session(std::uint64_t number, std::uint64_t session) {
    pending_map::node_type finished;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = pending_.find(number);
        if (found == pending_.end()) {
            return;
        }
        found->second.unanswered.erase(session);
        if (!found->second.unanswered.empty()) {
            return;
        }
        finished = pending_.extract(found);
    }
    metrics_.count(checks_total, {{"outcome", "answered"}});
    finished.mapped().done();
}

void crash_check::expire(std::uint64_t number) {
    pending_map::node_type expired;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        expired = pending_.extract(number);
    }
    if (expired.empty()) {
        return;
    }
    metrics_.count(checks_total, {{"outcome", "unanswered"}});
    log_event(log_level::warning, "crash_check_unanswered",
              {{"entries", expired.mapped().unanswered.size()}});
    expired.mapped().done();
}

} // namespace citronseam
