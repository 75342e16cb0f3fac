/// @file
/// Intervals of the reads of the store, chosen so that all processes together stay within a rate
/// that does not depend on their number.
#ifndef CITRONSEAM_PROCESS_STORE_READS_H
#define CITRONSEAM_PROCESS_STORE_READS_H

#include <cstddef>

#include "citronseam/process/clock.h"

namespace citronseam {

/// What a process knows of the other processes.
struct member_knowledge {
    std::size_t known{0};      ///< number of processes that it knows of
    bool is_connected{false};  ///< to at least one of them
    bool is_incomplete{false}; ///< another process knows of more gateways
};

/// Processes read the table of members once they have registered, and learn of later ones from
/// connections. Further reads only make up for lost news.
/// @return time between two reads of the table of members
milliseconds members_read_interval(const member_knowledge& knowledge) noexcept;

/// @param due time after its acknowledgement within which a configuration must be in force
/// @return longest wait of one call for changes of the operator's table. Each response shows that
/// the reader still reads, so it is short against that time.
milliseconds operator_feed_wait(milliseconds due) noexcept;

/// @param bound time after the store's answer within which a change of the server list must be
/// applied everywhere
/// @return time between two reads of the server list by the reader of a zone
milliseconds servers_read_interval(milliseconds bound) noexcept;

/// @param bound as for servers_read_interval
/// @return for how long a copy of the server list may lack what another process announces before
/// its owner reads the store itself
milliseconds max_server_list_lag(milliseconds bound) noexcept;

} // namespace citronseam

#endif
