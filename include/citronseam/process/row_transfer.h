/// @file
/// Decides whom rows are requested from and how many large answers are sent at a time, so that a
/// row spreads from process to process instead of over the link of the first that has it.
#ifndef CITRONSEAM_PROCESS_ROW_TRANSFER_H
#define CITRONSEAM_PROCESS_ROW_TRANSFER_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/random.h"

namespace citronseam {

/// A process that announced rows which this process lacks.
struct row_source {
    std::string_view instance;
    bool is_same_zone{false};
    time_point busy_at; ///< when it last answered that it is busy; time_point{} for never
};

/// @return one of the sources that were not busy within `busy_time`, at random. Sources of other
/// zones are used only if there is none in the own zone. nullptr if all are busy.
const row_source* choose_row_source(const std::vector<row_source>& sources, milliseconds busy_time,
                                    time_point now, random_source& random);

/// A large answer that was sent.
struct row_transfer {
    std::uint64_t version{0};       ///< of the newest row in it
    std::uint64_t known_version{0}; ///< of the newest row that the receiver announced since
    bool is_queued{false};          ///< part of it was not passed to the operating system yet
    time_point sent_at;
};

/// Limits of the answers that a process sends.
struct transfer_limits {
    std::size_t large_bytes{0};      ///< answers up to this size are always sent
    std::size_t max_large{0};        ///< large answers under way at a time
    milliseconds max_unconfirmed{0}; ///< an answer counts as arrived after this time, once it was
                                     ///< passed to the operating system
};

/// @return whether an answer still takes the link
bool is_under_way(const row_transfer& transfer, const transfer_limits& limits,
                  time_point now) noexcept;

/// @return whether an answer may be sent beside those under way
bool may_send_rows(std::size_t bytes, std::size_t under_way,
                   const transfer_limits& limits) noexcept;

} // namespace citronseam

#endif
