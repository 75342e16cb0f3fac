/// @file
/// Divides a limit on the requests to one server among the processes that send to it.
///
/// A limit counts requests in a sliding window and applies to all processes together. Each process
/// takes a whole number of requests, which may be none, so the processes cannot exceed the limit
/// whenever they send. Processes whose lists of each other differ for a while disagree by at most
/// the number of processes that are missing from a list.
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

/// Ranks a process among all that send to a server: processes of the server's zone come first,
/// since most of its requests are theirs. The order of the others differs between servers.
/// @param self    the process
/// @param senders all processes, with or without `self`
/// @return the rank, from 0
std::size_t sender_rank(const request_sender& self, const std::vector<request_sender>& senders,
                        std::string_view server, std::string_view server_zone);

/// @param total requests in a window from all processes together
/// @param sender_count number of processes, at least 1
/// @param rank of this process, from 0
/// @return requests in a window from this process; the sum over all ranks is `total`
std::size_t quota_of(std::size_t total, std::size_t sender_count, std::size_t rank) noexcept;

} // namespace citronseam

#endif
