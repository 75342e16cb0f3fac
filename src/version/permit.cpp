#include "citronseam/version/permit.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace citronseam {

std::string permit_row_key(std::string_view service, std::string_view scope, std::uint32_t slot) {
    return std::string(service) + "." + std::string(scope) + "." + std::to_string(slot);
}

std::string to_json(const permit_record& record) {
    const nlohmann::json json = {{"holder", record.holder},
                                 {"attempt", record.attempt},
                                 {"expires_at_ms", record.expires_at_ms}};
    return json.dump();
}

result<permit_record> parse_permit(const std::string& text) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        return permit_record{json.at("holder"), json.at("attempt"), json.at("expires_at_ms")};
    } catch (const nlohmann::json::exception& exception) {
        return failure(error_code::corrupt,
                       std::string("a permit cannot be read: ") + exception.what());
    }
}

bool is_permit_free(const permit_record& record, std::uint64_t now_ms) noexcept {
    return now_ms > record.expires_at_ms + static_cast<std::uint64_t>(clock_skew_margin.count());
}

bool is_permit_valid(const permit_record& record, std::string_view attempt,
                     std::uint64_t now_ms) noexcept {
    return record.attempt == attempt &&
           now_ms + static_cast<std::uint64_t>(clock_skew_margin.count()) < record.expires_at_ms;
}

std::uint32_t max_concurrent_reloads(std::size_t members) noexcept {
    return static_cast<std::uint32_t>(std::max<std::size_t>(members / 2, 1));
}

} // namespace citronseam
