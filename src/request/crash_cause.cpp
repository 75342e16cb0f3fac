#include "citronseam/request/crash_cause.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "citronseam/process/json_number.h"
#include "citronseam/process/random.h"

namespace citronseam {
namespace {

constexpr std::uint64_t key_count = 64;

} // namespace

std::string crash_cause_key(const trait_set& traits) {
    std::uint64_t hash = 0;
    for (const std::uint64_t trait : traits) {
        hash = hash_text(std::to_string(trait), hash);
    }
    return "cause-" + std::to_string(hash % key_count);
}

std::string to_json(const crash_cause& cause) {
    return nlohmann::json{{"traits", cause.traits}, {"refused_until_ms", cause.refused_until_ms}}
        .dump();
}

result<crash_cause> parse_crash_cause(const std::string& text) {
    try {
        const auto value = nlohmann::json::parse(text);
        crash_cause cause;
        const auto& traits = value.at("traits");
        if (!traits.is_array() || traits.empty()) {
            throw std::invalid_argument("it names no traits");
        }
        for (const auto& trait : traits) {
            cause.traits.push_back(read_whole_number<std::uint64_t>(trait));
        }
        std::sort(cause.traits.begin(), cause.traits.end());
        cause.refused_until_ms = read_whole_number<std::uint64_t>(value.at("refused_until_ms"));
        return cause;
    } catch (const std::exception& exception) {
        return failure(error_code::protocol, std::string("a crash cause's row cannot be read: ") +
                                                 shortened(exception.what()));
    }
}

} // namespace citronseam
