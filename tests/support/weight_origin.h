/// @file
/// Stand-in for the weight origin of the users' platform.
#ifndef CITRONSEAM_TESTS_SUPPORT_WEIGHT_ORIGIN_H
#define CITRONSEAM_TESTS_SUPPORT_WEIGHT_ORIGIN_H

#include <atomic>
#include <memory>
#include <string>

#include "citronseam/connection/http_server.h"

namespace citronseam::harness {

/// Serves the manifests and pieces of one model.
class weight_origin {
public:
    weight_origin();
    /// @return `host:port`
    std::string address() const;
    /// @return content of a piece of a version
    static std::string piece(std::uint64_t version, std::size_t index);

    static constexpr std::size_t piece_count = 16;
    std::atomic<bool> is_down{false};
    std::atomic<int> pieces_sent{0};

private:
    void handle(const server_request& request, http_responder& responder);
    std::unique_ptr<http_server> server_;
};

} // namespace citronseam::harness

#endif
