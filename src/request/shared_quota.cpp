#include "citronseam/request/shared_quota.h"

#include <algorithm>
#include <utility>

#include "citronseam/process/random.h"

namespace citronseam {

std::size_t sender_rank(const request_sender& self, const sender_list& all, std::string_view server,
                        std::string_view server_zone) {
    if (all.senders.size() < all.count) {
        return all.count - 1;
    }
    const bool is_local = self.zone == server_zone;
    const auto order_of = [server](const request_sender& sender) {
        return std::make_pair(rendezvous_weight(server, sender.instance),
                              std::string_view(sender.instance));
    };
    const auto own_order = order_of(self);
    std::size_t local_count = 0;
    std::size_t position = 0; // among the local senders, or among the others
    for (const request_sender& sender : all.senders) {
        const bool is_sender_local = sender.zone == server_zone;
        local_count += is_sender_local ? 1 : 0;
        const bool precedes = sender.instance != self.instance && is_sender_local == is_local &&
                              order_of(sender) < own_order;
        position += precedes ? 1 : 0;
    }
    const std::size_t remote_count = all.senders.size() - local_count;
    return is_local ? position + std::min(position, remote_count)
                    : position + std::min(position + 1, local_count);
}

std::size_t quota_of(std::size_t total, std::size_t sender_count, std::size_t rank) noexcept {
    const std::size_t divisor = std::max<std::size_t>(sender_count, 1);
    return total / divisor + (rank < total % divisor ? 1 : 0);
}

} // namespace citronseam
