#include "programs/entry/neighbours_reply.h"

namespace citronseam {

wire::neighbours_replyT make_neighbours_reply(const backend_server_directory& directory,
                                              std::string_view service) {
    wire::neighbours_replyT reply;
    for (const auto& link : directory.links()) {
        if (link->service() != service) {
            continue;
        }
        auto row = std::make_unique<wire::neighbourT>();
        row->instance = link->instance();
        row->peer_address = link->peer_address();
        row->availability_zone = link->availability_zone();
        row->is_ready = link->load().is_accepting;
        reply.neighbours.push_back(std::move(row));
    }
    return reply;
}

} // namespace citronseam
