#include "citronseam/process/versioned_row.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace citronseam {
namespace {

bool update_row(row_cache& cache, const versioned_row& row) {
    versioned_row& known = cache.rows[row.key];
    if (row.version <= known.version) {
        return false;
    }
    known = row;
    return true;
}

/// Marks as removed the rows that a full snapshot does not list, unless they were written after it.
void remove_unlisted(row_cache& cache, const row_batch& batch,
                     std::vector<versioned_row>& changed) {
    std::set<std::string_view> listed_keys;
    for (const auto& row : batch.rows) {
        listed_keys.insert(row.key);
    }
    for (auto& [key, row] : cache.rows) {
        if (row.is_removed || row.version > batch.version || listed_keys.count(key) > 0) {
            continue;
        }
        row.is_removed = true;
        row.value.clear();
        row.version = batch.version;
        changed.push_back(row);
    }
}

} // namespace

std::vector<versioned_row> merge(row_cache& cache, const row_batch& batch) {
    std::vector<versioned_row> changed;
    for (const auto& row : batch.rows) {
        if (update_row(cache, row)) {
            changed.push_back(row);
        }
    }
    if (batch.is_whole) {
        remove_unlisted(cache, batch, changed);
    }
    if (batch.is_whole || batch.after <= cache.version) {
        cache.version = std::max(cache.version, batch.version);
        cache.is_complete = true;
    }
    return changed;
}

std::uint64_t newest_row_version(const row_cache& cache) noexcept {
    std::uint64_t newest = 0;
    for (const auto& [key, row] : cache.rows) {
        if (row.version <= cache.version) {
            newest = std::max(newest, row.version);
        }
    }
    return newest;
}

std::vector<versioned_row> rows_newer_than(const row_cache& cache, std::uint64_t after) {
    std::vector<versioned_row> newer;
    for (const auto& [key, row] : cache.rows) {
        if (row.version > after) {
            newer.push_back(row);
        }
    }
    return newer;
}

} // namespace citronseam
