/// @file
/// A row of the platform's store, and a local cache of a table whose rows never go back to an older
/// version.
#ifndef CITRONSEAM_PROCESS_VERSIONED_ROW_H
#define CITRONSEAM_PROCESS_VERSIONED_ROW_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronseam {

/// Versions come from one counter for the whole store, which goes back when the store is restored
/// from a copy. The upper bits hold the store's era, which rises by one each time, so versions of a
/// later era are always higher.
inline constexpr unsigned era_shift = 48;
inline constexpr std::uint64_t max_counter = (std::uint64_t{1} << era_shift) - 1;
inline constexpr std::uint64_t max_era = (std::uint64_t{1} << (64 - era_shift)) - 1;

/// @return the version for a value of the store's counter in an era
constexpr std::uint64_t make_version(std::uint64_t era, std::uint64_t counter) noexcept {
    return era << era_shift | counter;
}
/// @return the store's era of a version
constexpr std::uint64_t era_of(std::uint64_t version) noexcept {
    return version >> era_shift;
}
/// @return the value of the store's counter
constexpr std::uint64_t counter_of(std::uint64_t version) noexcept {
    return version & max_counter;
}

/// One row.
struct versioned_row {
    std::string key;
    std::string value;
    std::uint64_t version{0};
    bool is_removed{false};
};

/// Rows received in one read or message.
struct row_batch {
    std::vector<versioned_row> rows;
    std::uint64_t version{0}; ///< version of the store when they were read
    bool is_whole{false};     ///< a full snapshot: rows not listed did not exist at that version
    std::uint64_t after{0};   ///< all rows that changed after this version are listed
};

/// A process's copy of one table. Removed rows stay as tombstones, so that the removal can be sent
/// to a process whose copy is behind.
struct row_cache {
    std::map<std::string, versioned_row, std::less<>> rows;
    std::uint64_t version{0};        ///< version of the store up to which no change is missing
    bool is_complete{false};         ///< false until all rows were read once
    std::uint64_t removals_since{0}; ///< rows that were removed before this version are not listed
};

/// Merges a batch into the cache. Batches may arrive in any order: of two states of a row the one
/// with the higher version is kept. A batch that begins after the cache's version may leave changes
/// out, so it does not raise the version.
/// @return the rows that changed
std::vector<versioned_row> merge(row_cache& cache, const row_batch& batch);

/// @return the highest version of a row up to the cache's version, 0 when there is none
std::uint64_t newest_row_version(const row_cache& cache) noexcept;

/// @return the rows with a version higher than `after`, removed ones included
std::vector<versioned_row> rows_newer_than(const row_cache& cache, std::uint64_t after);

/// @return what a process lacks whose copy is complete up to `after`: the changes since then, or
/// all rows if removals since then are not known; an empty batch of version 0 if the cache is not
/// complete
row_batch changes_since(const row_cache& cache, std::uint64_t after);

/// Leaves large rows out of a batch, which then no longer tells up to which version it is complete.
/// @param max_bytes size of the values that are kept
void keep_small_rows(row_batch& batch, std::size_t max_bytes);

/// @return the highest version of a row of a batch, 0 when there is none
std::uint64_t newest_version(const row_batch& batch) noexcept;

/// @return size of the values of a batch
std::size_t value_bytes(const row_batch& batch) noexcept;

} // namespace citronseam

#endif
