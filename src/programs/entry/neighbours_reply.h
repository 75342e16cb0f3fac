/// @file
/// Reply to an agent that asks for the other agents of its service.
#ifndef CITRONSEAM_PROGRAMS_ENTRY_NEIGHBOURS_REPLY_H
#define CITRONSEAM_PROGRAMS_ENTRY_NEIGHBOURS_REPLY_H

#include <string_view>

#include "generated/wire_generated.h"
#include "programs/entry/backend_server_directory.h"

namespace citronseam {

/// @return the agents of a service that are connected to this entry
wire::neighbours_replyT make_neighbours_reply(const backend_server_directory& directory,
                                              std::string_view service);

} // namespace citronseam

#endif
