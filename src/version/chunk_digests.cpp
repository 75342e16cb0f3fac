#include "citronseam/version/chunk_digests.h"

#include <algorithm>
#include <array>

#include "citronseam/process/enum_names.h"
#include "citronseam/version/sha256.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<list_verdict>, 4> verdict_names{{
    {list_verdict::used, "used"},
    {list_verdict::unreadable, "unreadable"},
    {list_verdict::other_shape, "other_shape"},
    {list_verdict::unproven, "unproven"},
}};

bool is_field_matched(std::uint64_t configured, std::uint64_t stated) noexcept {
    return configured == 0 || configured == stated;
}

bool is_possible(const weights_shape& configured, const weights_shape& stated) noexcept {
    return stated.chunks > 0 && stated.chunk_bytes > 0 && stated.chunk_bytes <= max_chunk_size &&
           is_field_matched(configured.chunks, stated.chunks) &&
           is_field_matched(configured.chunk_bytes, stated.chunk_bytes);
}

void make_room(std::vector<stated_digest>& stated) {
    if (stated.size() < max_stated_digests) {
        return;
    }
    // The last one of the least stated ones is the oldest.
    auto least = stated.begin();
    for (auto entry = stated.begin(); entry != stated.end(); ++entry) {
        if (entry->statements <= least->statements) {
            least = entry;
        }
    }
    stated.erase(least);
}

void add_statement(std::vector<stated_digest>& stated, const std::string& digest,
                   list_source source, bool is_confirmed) {
    auto found = std::find_if(stated.begin(), stated.end(),
                              [&](const auto& entry) { return entry.digest == digest; });
    const bool is_new = found == stated.end();
    if (is_new) {
        make_room(stated);
        found = stated.insert(stated.begin(), {digest, 0});
    }
    if (is_confirmed) {
        found->statements = sufficient_statements;
    } else if (is_new || source == list_source::origin) {
        found->statements = std::min(found->statements + 1, sufficient_statements);
    }
}

void use_list(chunk_digests& known, const digest_list& list) {
    for (std::size_t i = 0; i < known.places.size(); ++i) {
        add_statement(known.places[i], *parse_sha256_hex(list.digests[i]), list.source,
                      i < list.confirmed.size() && list.confirmed[i]);
    }
}

bool is_sufficient(const stated_digest& stated) noexcept {
    return stated.statements >= sufficient_statements;
}

} // namespace

std::string_view name(list_verdict verdict) noexcept {
    return find_name(verdict_names, verdict);
}

list_verdict add_list(chunk_digests& known, const digest_list& list) {
    if (!std::all_of(list.digests.begin(), list.digests.end(),
                     [](const auto& digest) { return parse_sha256_hex(digest).has_value(); })) {
        return list_verdict::unreadable;
    }
    const weights_shape stated{list.digests.size(), list.chunk_bytes};
    if (!is_possible(known.configured, stated)) {
        return list_verdict::other_shape;
    }
    if (known.shape == weights_shape{} && known.configured != stated) {
        const bool is_second =
            known.unproven &&
            stated == weights_shape{known.unproven->digests.size(), known.unproven->chunk_bytes};
        if (!is_second) {
            known.unproven = list;
            return list_verdict::unproven;
        }
    }
    if (known.shape == weights_shape{}) {
        known.shape = stated;
        known.places.resize(stated.chunks);
        if (known.unproven) {
            use_list(known, *known.unproven);
            known.unproven.reset();
        }
    }
    if (known.shape != stated) {
        return list_verdict::other_shape;
    }
    use_list(known, list);
    return list_verdict::used;
}

bool is_disputed(const chunk_digests& known, std::size_t place) noexcept {
    const auto& stated = known.places[place];
    return stated.size() > 1 && std::none_of(stated.begin(), stated.end(), &is_sufficient);
}

std::size_t count_disputed(const chunk_digests& known) noexcept {
    std::size_t count = 0;
    for (std::size_t i = 0; i < known.places.size(); ++i) {
        count += is_disputed(known, i) ? 1 : 0;
    }
    return count;
}

bool has_open_statement(const chunk_digests& known, std::size_t place) noexcept {
    const auto& stated = known.places[place];
    return stated.size() > 1 && !is_sufficient(stated.front());
}

manifest make_manifest(const chunk_digests& known) {
    manifest list;
    list.is_identified = false;
    list.chunk_size = known.shape.chunk_bytes;
    list.total_size = known.shape.chunk_bytes * known.shape.chunks;
    for (std::size_t i = 0; i < known.places.size(); ++i) {
        const auto& stated = known.places[i];
        chunk entry;
        entry.size = static_cast<std::uint32_t>(known.shape.chunk_bytes);
        entry.is_disputed = is_disputed(known, i);
        entry.hash = stated.front().digest;
        std::vector<std::string> counting;
        for (const stated_digest& other : stated) {
            if (is_sufficient(other)) {
                counting.push_back(other.digest);
            }
        }
        if (!counting.empty()) {
            entry.hash = counting.front();
            entry.alternatives.assign(counting.begin() + 1, counting.end());
        }
        list.chunks.push_back(std::move(entry));
    }
    return list;
}

} // namespace citronseam
