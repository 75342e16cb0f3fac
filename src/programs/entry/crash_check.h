/// @file
/// Asks the other entries for crash reports that are still under way.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_CRASH_CHECK_H
#define CITRONSEAM_PROGRAMS_ENTRY_CRASH_CHECK_H

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>

#include "citronseam/process/clock.h"

namespace citronseam {

class entry_mesh;
class io_thread_pool;
class metrics;

/// Makes sure that this entry and those that it is connected to know the same lost servers. Frames
/// of a connection arrive in order, so one round trip is enough. Thread-safe.
class crash_check {
public:
    /// @param traffic         runs the timers
    /// @param mesh            connections to the other entries
    /// @param process_metrics counts checks by outcome
    /// @param max_wait        an entry that does not answer for this long counts as not connected
    crash_check(io_thread_pool& traffic, const entry_mesh& mesh, metrics& process_metrics,
                milliseconds max_wait);

    /// Asks all connected entries.
    /// @param done is called once, on any thread, after each of them has answered, was lost or did
    ///        not answer in time
    void start(std::function<void()> done);
    /// Handles an answer that came on a session.
    void handle_reply(std::uint64_t session, std::uint64_t number);
    /// Expects no more answers on a session.
    void handle_session_lost(std::uint64_t session);

private:
    /// A check under way.
    struct pending_check {
        std::set<std::uint64_t> unanswered; ///< sessions
        std::function<void()> done;
    };
    using pending_map = std::map<std::uint64_t, pending_check>;

    void remove_session(std::uint64_t number, std::uint64_t session);
    void expire(std::uint64_t number);

    io_thread_pool& traffic_;
    const entry_mesh& mesh_;
    metrics& metrics_;
    milliseconds max_wait_;
    std::mutex mutex_;
    pending_map pending_;
    std::uint64_t last_number_{0};
};

} // namespace citronseam

#endif
