/// @file
/// HTTP interface of an entry for callers: discovery of entries, and requests to services.
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

/// Time for which callers may use a list of entries. An entry that shuts down keeps redirecting
/// requests for at least this long.
constexpr seconds entry_list_lifetime{5};

/// Handles callers' requests. All functions may be called from any thread.
class caller_request_handler {
public:
    /// @param context     shared components of the entry; must outlive this object
    /// @param mesh        the other entries; must outlive this object
    /// @param incarnation number of this run of the process, part of the generated request ids
    caller_request_handler(entry_context& context, const entry_mesh& mesh,
                           std::uint64_t incarnation);

    /// Handles one request.
    void handle(server_request request, std::shared_ptr<http_responder> responder);
    /// Sets the HTTP address that callers are given.
    void set_address(std::string address);
    /// Redirects all further requests to other entries.
    void set_leaving() { is_leaving_ = true; }

    /// @return the HTTP address that callers are given
    const std::string& address() const noexcept { return address_; }
    /// @return whether this entry is shutting down
    const std::atomic<bool>& is_leaving() const noexcept { return is_leaving_; }
    /// @return number of requests in progress
    const std::atomic<std::uint32_t>& running() const noexcept { return running_; }

private:
    void start_exchange(caller_request request, std::shared_ptr<http_responder> responder);
    void send_entry_list(const server_request& request, http_responder& responder) const;
    void redirect_to_other_entry(const server_request& request, http_responder& responder) const;
    void refuse(http_responder& responder, refusal reason, const std::string& message) const;
    void refuse_with_code(http_responder& responder, int status, const std::string& code,
                          const std::string& message) const;
    std::string find_other_entry() const;
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
