#include "citronseam/version/chunk_store.h"

#include <algorithm>
#include <set>

namespace citronseam {

bool add_chunk(chunk_store& store, const std::string& hash, chunk_content content) {
    if (store.chunks.count(hash) > 0) {
        return true;
    }
    if (store.used + content->size() > store.limit) {
        return false;
    }
    store.used += content->size();
    store.chunks.emplace(hash, std::move(content));
    return true;
}

chunk_content find_chunk(const chunk_store& store, const std::string& hash) {
    const auto found = store.chunks.find(hash);
    return found == store.chunks.end() ? nullptr : found->second;
}

void keep_only(chunk_store& store, const manifest& kept) {
    std::set<std::string> names;
    for (const auto& piece : kept.chunks) {
        names.insert(piece.hash);
    }
    std::erase_if(store.chunks, [&](const auto& entry) {
        const bool is_dropped = names.count(entry.first) == 0;
        store.used -= is_dropped ? entry.second->size() : 0;
        return is_dropped;
    });
}

std::uint32_t count_held(const chunk_store& store, const manifest& list) {
    const auto is_held = [&](const chunk& piece) { return store.chunks.count(piece.hash) > 0; };
    return static_cast<std::uint32_t>(
        std::count_if(list.chunks.begin(), list.chunks.end(), is_held));
}

} // namespace citronseam
