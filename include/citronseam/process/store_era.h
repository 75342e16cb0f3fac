/// @file
/// How long a restored store has been back, as far as a process knows.
#ifndef CITRONSEAM_PROCESS_STORE_ERA_H
#define CITRONSEAM_PROCESS_STORE_ERA_H

#include <cstdint>

#include "citronseam/process/clock.h"

namespace citronseam {

/// After the store was restored from a copy, the operator and the servers write their lost rows
/// again within this time. Until then the rows of the era before are closer to what they want.
inline constexpr milliseconds rewrite_time{2500};

/// The store's newest era. All processes wait for the same event, so each of them counts from the
/// first news of the era that any of them had: a wait that began with the news from another process
/// would add to that process's own.
struct store_era {
    std::uint64_t number{0};
    time_point known_since; ///< when the first process learned of it, or a little later
};

/// Records news of an era. News of an earlier era changes nothing; of two times at which an era was
/// known, the earlier one is kept.
/// @param era   an era, as stated by the store or by another process
/// @param since when the store or the other process was known to be in that era
/// @return whether the era is new to this process
bool learn_era(store_era& newest, std::uint64_t era, time_point since) noexcept;

/// @return how long after `now` rows of the newest era are still held back; zero: not at all
milliseconds remaining_rewrite_time(const store_era& newest, time_point now) noexcept;

} // namespace citronseam

#endif
