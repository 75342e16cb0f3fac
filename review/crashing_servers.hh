/// @file
/// Plain servers that crash when a certain request reaches them, and come back under new ids.
#ifndef CITRONSEAM_REVIEW_CRASHING_SERVERS_H
#define CITRONSEAM_REVIEW_CRASHING_SERVERS_H

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review_world.hh"

namespace citronseam::review {

/// What a crash does to the connections of a server.
enum class crash_kind : std::uint8_t {
    close, ///< they are closed, and new ones are refused
    dark   ///< they fall silent, and new ones are not answered
};

/// Servers of a world that crash when a request reaches them whose id begins with deadly_prefix.
class crashing_servers {
public:
    /// @param kind how they crash
    crashing_servers(review_world& world, record& log, crash_kind kind);
    /// Waits until all servers are back.
    ~crashing_servers();
    crashing_servers(const crashing_servers&) = delete;
    crashing_servers& operator=(const crashing_servers&) = delete;

    /// Adds a server. Call it before the world starts.
    void add(std::size_t number, const std::string& zone);
    /// @return times at which such a request reached a server
    std::vector<double> arrivals();

    static constexpr const char* deadly_prefix = "dead";
    /// "The engine is back after some seconds."
    static constexpr milliseconds absence{2500};

private:
    void watch(listed_standin& listed, std::size_t number);
    void restart(listed_standin& listed, std::size_t number);

    review_world& world_;
    record& log_;
    crash_kind kind_;
    std::mutex mutex_;
    std::vector<double> arrivals_;
    std::vector<std::thread> restarts_;
    std::atomic<int> incarnations_{0};
};

} // namespace citronseam::review

#endif
