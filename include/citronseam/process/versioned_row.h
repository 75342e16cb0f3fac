/// @file
/// A row of the platform's store, and a copy of a table that only moves forward.
#ifndef CITRONSEAM_PROCESS_VERSIONED_ROW_H
#define CITRONSEAM_PROCESS_VERSIONED_ROW_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronseam {

/// One row. Versions come from one counter of the whole store.
struct versioned_row {
    std::string key;
    std::string value;
    std::uint64_t version{0};
    bool is_removed{false};
};

/// Rows that came together.
struct row_batch {
    std::vector<versioned_row> rows;
    std::uint64_t version{0}; ///< of the store when they were read
    bool is_whole{false};     ///< rows that are not listed did not exist at that version
};

/// What a process knows of one table. Removed rows stay as such, so that a copy which is behind can
/// be told.
struct row_cache {
    std::map<std::string, versioned_row, std::less<>> rows;
    std::uint64_t version{0}; ///< of the store at the newest read; 0: nothing was read yet
};

/// Takes rows, whatever order batches come in: of two states of a row the one with the higher
/// version stays.
/// @return the rows that changed
std::vector<versioned_row> merge(row_cache& cache, const row_batch& batch);

/// @return the highest version of a row, 0 when there is none
std::uint64_t newest_version(const row_cache& cache) noexcept;

/// @return the rows with a higher version than `after`
std::vector<versioned_row> rows_after(const row_cache& cache, std::uint64_t after);

} // namespace citronseam

#endif
