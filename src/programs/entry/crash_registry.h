/// @file
/// The entry's records of requests that bring down backend servers, shared with other entries.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_CRASH_REGISTRY_H
#define CITRONSEAM_PROGRAMS_ENTRY_CRASH_REGISTRY_H

#include <functional>
#include <mutex>
#include <vector>

#include "citronseam/connection/wire_message.h"
#include "citronseam/request/quarantine.h"

namespace citronseam {

/// One record as operators see it.
struct crash_listing {
    std::uint64_t fingerprint{0};
    crash_standing standing{crash_standing::clear};
    std::vector<lost_server> losses;
    milliseconds expires_in{0};
};

/// Guards the records. All functions may be called from any thread.
class crash_board {
public:
    /// Sets how news is passed on to the other entries.
    void on_news(std::function<void(const shared_frame&)> pass_on);

    /// Takes a report from an agent or another entry, and passes it on if it is news.
    void take_report(const wire::crash_report& message);
    /// Forgets a fingerprint here and at the other entries.
    /// @return whether there was a record here
    bool release(std::uint64_t fingerprint);
    /// @return how a request is to be treated now
    crash_standing standing(std::uint64_t fingerprint) const;
    /// @return time until the record expires
    milliseconds expires_in(std::uint64_t fingerprint) const;
    /// @return all records
    std::vector<crash_listing> list() const;
    /// @return reports that bring another entry up to date
    std::vector<shared_frame> reports() const;

private:
    mutable std::mutex mutex_;
    quarantine state_;
    std::function<void(const shared_frame&)> pass_on_;
};

} // namespace citronseam

#endif
