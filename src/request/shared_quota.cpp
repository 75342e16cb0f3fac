#include "citronseam/request/shared_quota.h"

#include <algorithm>
#include <tuple>

#include "citronseam/process/random.h"

namespace citronseam {

std::size_t sender_rank(const request_sender& self, const sender_list& all, std::string_view server,
                        std::string_view server_zone) {
    if (all.senders.size() < all.count) {
        return all.count - 1;
    }
    const auto order_of = [&](const request_sender& sender) {
        return std::make_tuple(sender.zone != server_zone,
                               rendezvous_weight(server, sender.instance),
                               std::string_view(sender.instance));
    };
    const auto own_order = order_of(self);
    return static_cast<std::size_t>(
        std::count_if(all.senders.begin(), all.senders.end(), [&](const request_sender& sender) {
            return sender.instance != self.instance && order_of(sender) < own_order;
        }));
}

std::size_t quota_of(std::size_t total, std::size_t sender_count, std::size_t rank) noexcept {
    const std::size_t divisor = std::max<std::size_t>(sender_count, 1);
    return total / divisor + (rank < total % divisor ? 1 : 0);
}

} // namespace citronseam
