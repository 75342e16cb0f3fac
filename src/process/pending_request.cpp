#include "citronseam/process/pending_request.h"

namespace citronseam {
namespace {

/// A session without data is closed sooner than this, which ends its requests. This covers a peer
/// that is alive and never replies.
constexpr milliseconds reply_timeout{5000};

} // namespace

bool is_outstanding(const pending_request& request, time_point now) noexcept {
    return request.session != 0 && now - request.sent_at < reply_timeout;
}

} // namespace citronseam
