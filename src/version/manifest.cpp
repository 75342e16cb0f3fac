#include "citronseam/version/manifest.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "citronseam/version/sha256.h"

namespace citronseam {
namespace {

/// Checks that the sizes add up; otherwise chunk_offset() would be wrong.
bool is_consistent(const manifest& list) {
    if (list.chunk_size == 0 || list.chunk_size > max_chunk_size || list.chunks.empty()) {
        return false;
    }
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < list.chunks.size(); ++i) {
        const bool is_last = i + 1 == list.chunks.size();
        const std::uint64_t size = list.chunks[i].size;
        if (size == 0 || size > list.chunk_size || (!is_last && size != list.chunk_size)) {
            return false;
        }
        total += size;
    }
    return total == list.total_size;
}

} // namespace

manifest make_manifest(std::string source, std::string_view content, std::uint64_t chunk_size) {
    manifest list;
    list.source = std::move(source);
    list.chunk_size = chunk_size;
    list.total_size = content.size();
    for (std::uint64_t offset = 0; offset < content.size(); offset += chunk_size) {
        const std::string_view piece = content.substr(offset, chunk_size);
        list.chunks.push_back({sha256_hex(piece), static_cast<std::uint32_t>(piece.size())});
    }
    return list;
}

std::string to_json(const manifest& list) {
    nlohmann::ordered_json json;
    json["source"] = list.source;
    json["chunk_size"] = list.chunk_size;
    json["total_size"] = list.total_size;
    json["chunks"] = nlohmann::ordered_json::array();
    for (const auto& piece : list.chunks) {
        json["chunks"].push_back({{"hash", piece.hash}, {"size", piece.size}});
    }
    return json.dump();
}

result<manifest> parse_manifest(const std::string& text, std::string_view identity) {
    if (sha256_hex(text) != identity) {
        return failure(error_code::corrupt,
                       "the manifest does not match its identity " + std::string(identity));
    }
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        manifest list;
        list.source = json.at("source");
        list.chunk_size = json.at("chunk_size");
        list.total_size = json.at("total_size");
        for (const auto& entry : json.at("chunks")) {
            list.chunks.push_back({entry.at("hash"), entry.at("size")});
        }
        if (!is_consistent(list)) {
            return failure(error_code::corrupt, "the sizes in the manifest do not add up");
        }
        return list;
    } catch (const nlohmann::json::exception& exception) {
        return failure(error_code::corrupt,
                       std::string("the manifest cannot be read: ") + exception.what());
    }
}

const std::string* find_chunk_hash(const manifest& list, std::size_t index,
                                   std::string_view content) {
    if (index >= list.chunks.size() || list.chunks[index].is_disputed ||
        content.size() != list.chunks[index].size) {
        return nullptr;
    }
    const chunk& expected = list.chunks[index];
    const std::string hash = sha256_hex(content);
    if (hash == expected.hash) {
        return &expected.hash;
    }
    const auto found = std::find(expected.alternatives.begin(), expected.alternatives.end(), hash);
    return found == expected.alternatives.end() ? nullptr : &*found;
}

bool is_chunk_valid(const manifest& list, std::size_t index, std::string_view content) {
    return find_chunk_hash(list, index, content) != nullptr;
}

std::uint64_t chunk_offset(const manifest& list, std::size_t index) noexcept {
    return list.chunk_size * index;
}

} // namespace citronseam
