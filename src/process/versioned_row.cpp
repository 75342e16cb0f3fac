#include "citronseam/process/versioned_row.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <string_view>

namespace citronseam {
namespace {

bool update_row(row_cache& cache, const versioned_row& row) {
    const auto known = cache.rows.find(row.key);
    if (row.version <= (known == cache.rows.end() ? 0 : known->second.version)) {
        return false;
    }
    cache.rows.insert_or_assign(row.key, row);
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
    const bool has_all_rows = batch.is_whole || (batch.after == 0 && batch.version > 0);
    const bool is_new_era = has_all_rows && era_of(batch.version) > era_of(cache.version);
    if (has_all_rows && (!cache.is_complete || is_new_era)) {
        cache.is_complete = true;
        cache.removals_since = batch.version;
    }
    if (cache.is_complete && (batch.is_whole || batch.after <= cache.version)) {
        cache.version = std::max(cache.version, batch.version);
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

row_batch changes_since(const row_cache& cache, std::uint64_t after) {
    if (!cache.is_complete) {
        return {{}, 0, false, after};
    }
    const bool is_whole = after < cache.removals_since;
    return {rows_newer_than(cache, is_whole ? 0 : after), cache.version, is_whole, after};
}

void keep_small_rows(row_batch& batch, std::size_t max_bytes) {
    std::size_t kept_bytes = 0;
    std::erase_if(batch.rows, [&](const versioned_row& row) {
        const bool is_kept = kept_bytes + row.value.size() <= max_bytes;
        kept_bytes += is_kept ? row.value.size() : 0;
        return !is_kept;
    });
    batch.version = 0;
    batch.is_whole = false;
}

std::uint64_t newest_version(const row_batch& batch) noexcept {
    std::uint64_t newest = 0;
    for (const versioned_row& row : batch.rows) {
        newest = std::max(newest, row.version);
    }
    return newest;
}

std::size_t value_bytes(const row_batch& batch) noexcept {
    return std::accumulate(
        batch.rows.begin(), batch.rows.end(), std::size_t{0},
        [](std::size_t sum, const versioned_row& row) { return sum + row.value.size(); });
}

} // namespace citronseam
