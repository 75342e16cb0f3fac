#include "citronseam/version/held_version.h"

#include <algorithm>
#include <utility>

namespace citronseam {
namespace {

bool is_kept(const held_version* before, const chunk& entry, std::size_t place) {
    return before != nullptr && place < before->is_held.size() && before->is_held[place] &&
           before->list.chunks[place].size == entry.size;
}

} // namespace

held_version make_held_version(std::string name, const manifest& list, const chunk_store& store,
                               const held_version* before) {
    held_version version{std::move(name), list, std::vector<bool>(list.chunks.size(), false)};
    for (std::size_t i = 0; i < version.is_held.size(); ++i) {
        chunk& entry = version.list.chunks[i];
        if (list.is_identified) {
            version.is_held[i] = find_chunk(store, entry.hash) != nullptr;
        } else if (is_kept(before, entry, i)) {
            entry = before->list.chunks[i];
            version.is_held[i] = true;
        }
    }
    return version;
}

chunk_outcome store_chunk(held_version& version, chunk_store& store, std::size_t place,
                          std::string& content) {
    const std::string* found = find_chunk_hash(version.list, place, content);
    if (found == nullptr) {
        return chunk_outcome::mismatch;
    }
    const std::string hash = *found;
    if (!add_chunk(store, hash, std::make_shared<const std::string>(std::move(content)))) {
        return chunk_outcome::memory_full;
    }
    chunk& entry = version.list.chunks[place];
    entry.hash = hash;
    entry.alternatives.clear();
    version.is_held[place] = true;
    // The same content may occur at several places.
    for (std::size_t i = 0; version.list.is_identified && i < version.is_held.size(); ++i) {
        version.is_held[i] = version.is_held[i] || version.list.chunks[i].hash == hash;
    }
    return chunk_outcome::stored;
}

std::vector<std::size_t> amend_list(held_version& version, const manifest& list) {
    std::vector<std::size_t> changed;
    if (list.chunks.size() != version.list.chunks.size() ||
        list.chunk_size != version.list.chunk_size) {
        return changed;
    }
    for (std::size_t i = 0; i < list.chunks.size(); ++i) {
        if (!version.is_held[i] && version.list.chunks[i] != list.chunks[i]) {
            version.list.chunks[i] = list.chunks[i];
            changed.push_back(i);
        }
    }
    return changed;
}

chunk_content held_chunk(const held_version& version, const chunk_store& store, std::size_t place) {
    return place < version.is_held.size() && version.is_held[place]
               ? find_chunk(store, version.list.chunks[place].hash)
               : nullptr;
}

std::size_t count_held_chunks(const held_version& version) {
    return static_cast<std::size_t>(
        std::count(version.is_held.begin(), version.is_held.end(), true));
}

bool is_complete(const held_version& version) {
    return !version.is_held.empty() && count_held_chunks(version) == version.is_held.size();
}

} // namespace citronseam
