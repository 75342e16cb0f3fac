/// @file
/// Stand-in for the weight origin of the users' platform.
#ifndef CITRONSEAM_TESTS_SUPPORT_WEIGHT_ORIGIN_H
#define CITRONSEAM_TESTS_SUPPORT_WEIGHT_ORIGIN_H

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

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
    /// May change an answer to a call for the digests.
    /// @return whether the call is answered; otherwise it gets 503
    using list_editor = std::function<bool(std::uint64_t version, nlohmann::json& list)>;
    /// Sets a function that is called for each of these answers, one at a time.
    void set_list_editor(list_editor edit);

    static constexpr std::size_t piece_count = 16;
    static constexpr std::size_t piece_bytes = 1024;
    std::atomic<bool> is_down{false};
    std::atomic<int> pieces_sent{0};
    std::atomic<int> lists_sent{0};

private:
    void answer_list(std::uint64_t version, http_responder& responder);
    void handle(const server_request& request, http_responder& responder);
    std::mutex mutex_; ///< of edit_
    list_editor edit_;
    std::unique_ptr<http_server> server_;
};

} // namespace citronseam::harness

#endif
