#include "citronseam/version/chunk_store.h"

#include <algorithm>
#include <set>

namespace citronseam {

bool add_chunk(chunk_store& store, const std::string& hash, chunk_content content) {
    if (store.chunks.count(hash) > 0) {
        return true;
    }
    if (store.used_bytes + content->size() > store.limit_bytes) {
        return false;
    }
    store.used_bytes += content->size();
    store.chunks.emplace(hash, std::move(content));
    return true;
}

chunk_content find_chunk(const chunk_store& store, const std::string& hash) {
    const auto found = store.chunks.find(hash);
    return found == store.chunks.end() ? nullptr : found->second;
}

void retain_chunks(chunk_store& store, const std::vector<const manifest*>& kept) {
    std::set<std::string_view> wanted;
    for (const manifest* list : kept) {
        for (const chunk& piece : list->chunks) {
            wanted.insert(piece.hash);
        }
    }
    for (auto entry = store.chunks.begin(); entry != store.chunks.end();) {
        if (wanted.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        store.used_bytes -= entry->second->size();
        entry = store.chunks.erase(entry);
    }
}

std::uint32_t count_held_chunks(const chunk_store& store, const manifest& list) {
    const auto is_held = [&](const chunk& piece) { return store.chunks.count(piece.hash) > 0; };
    return static_cast<std::uint32_t>(
        std::count_if(list.chunks.begin(), list.chunks.end(), is_held));
}

} // namespace citronseam
