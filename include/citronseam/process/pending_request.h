/// @file
/// Limits requests for state of another process to one at a time.
#ifndef CITRONSEAM_PROCESS_PENDING_REQUEST_H
#define CITRONSEAM_PROCESS_PENDING_REQUEST_H

#include <cstdint>

#include "citronseam/process/clock.h"

namespace citronseam {

/// The outstanding request for one kind of state, if any. It ends with its reply or with its
/// session.
struct pending_request {
    std::uint64_t session{0}; ///< number of the session it was sent on; 0: none is outstanding
    time_point sent_at;
};

/// A large reply may take seconds on a slow link; a repeated request would double the load there.
/// @param reply_timeout time after which a peer that is alive but does not reply is given up on
/// @return whether a request is outstanding at `now`, so that no other may be sent
bool is_outstanding(const pending_request& request, milliseconds reply_timeout,
                    time_point now) noexcept;

} // namespace citronseam

#endif
