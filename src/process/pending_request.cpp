#include "citronseam/process/pending_request.h"

namespace citronseam {

bool is_outstanding(const pending_request& request, milliseconds reply_timeout,
                    time_point now) noexcept {
    return request.session != 0 && now - request.sent_at < reply_timeout;
}

} // namespace citronseam
