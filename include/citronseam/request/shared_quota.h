/// @file
/// Divides a limit on the requests to one server among the processes that send to it.
///
/// A limit counts requests in a sliding window and applies to all processes together. Each process
/// takes a whole number of requests, which may be none, so the processes cannot exceed the limit
/// whenever they send. A process whose list of the others is not complete takes no more than the
/// even share, rounded down.
#ifndef CITRONSEAM_REQUEST_SHARED_QUOTA_H
#define CITRONSEAM_REQUEST_SHARED_QUOTA_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace citronseam {

/// A process that sends requests to servers.
struct request_sender {
    std::string instance;
    std::string zone;

    bool operator==(const request_sender&) const = default;
};

/// The processes that share a limit, as one of them knows them.
struct sender_list {
    std::vector<request_sender> senders; ///< this process included
    /// Number of processes that share the limit: the highest that any of them knows of.
    std::size_t count{0};

    bool operator==(const sender_list&) const = default;
};

/// Ranks a process among all that send to a server. Processes of the server's zone and of the other
/// zones take turns: where a limit is less than one request for each process, those of a zone that
/// lost its servers still have a quota elsewhere. The order within both groups differs between
/// servers.
/// @param self    the process
/// @param all     the processes; a process that does not know all of them ranks last
/// @return the rank, from 0
std::size_t sender_rank(const request_sender& self, const sender_list& all, std::string_view server,
                        std::string_view server_zone);

/// @param total requests in a window from all processes together
/// @param sender_count number of processes, at least 1
/// @param rank of this process, from 0
/// @return requests in a window from this process; the sum over all ranks is `total`
std::size_t quota_of(std::size_t total, std::size_t sender_count, std::size_t rank) noexcept;

} // namespace citronseam

#endif
