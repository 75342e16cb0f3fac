/// @file
/// What an entry answers to callers: which entry to use, and their requests.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_CALLER_REQUEST_HANDLER_H
#define CITRONSEAM_PROGRAMS_ENTRY_CALLER_REQUEST_HANDLER_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "citronseam/connection/http_server.h"
#include "programs/entry/entry_context.h"
#include "programs/entry/entry_mesh.h"
#include "programs/entry/request_exchange.h"

namespace citronseam {

/// Callers keep an address this long, so a leaving entry goes on pointing elsewhere as long.
constexpr seconds address_lifetime{5};

/// Handles callers' requests. All functions may be called from any thread.
class caller_front {
public:
    /// @param context     parts of the entry; must outlive this object
    /// @param mesh        the other entries; must outlive this object
    /// @param incarnation number of this life of the process
    caller_front(entry_context& context, const entry_mesh& mesh, std::uint64_t incarnation);

    /// Handles one request.
    void handle(server_request request, std::shared_ptr<http_responder> responder);
    /// Sets the address that callers are told.
    void set_address(std::string address);
    /// From now on callers are pointed to other entries.
    void set_leaving() { is_leaving_ = true; }

    /// @return the address that callers are told
    const std::string& address() const noexcept { return address_; }
    /// @return whether this entry is on its way out
    const std::atomic<bool>& is_leaving() const noexcept { return is_leaving_; }
    /// @return requests that have no final answer yet
    const std::atomic<std::uint32_t>& running() const noexcept { return running_; }

private:
    void start_exchange(caller_request request, std::shared_ptr<http_responder> responder);
    void answer_entries(const server_request& request, http_responder& responder) const;
    void point_elsewhere(const server_request& request, http_responder& responder) const;
    void refuse(http_responder& responder, refusal reason, const std::string& message) const;
    void refuse_with(http_responder& responder, int status, const std::string& code,
                     const std::string& message) const;
    std::string other_entry() const;
    std::string next_id();

    entry_context& context_;
    const entry_mesh& mesh_;
    std::uint64_t incarnation_;
    std::string address_;
    std::atomic<bool> is_leaving_{false};
    std::atomic<std::uint32_t> running_{0};
    std::atomic<std::uint64_t> last_id_{0};
};

} // namespace citronseam

#endif
