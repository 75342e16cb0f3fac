#include "citronseam/request/response_digest.h"

#include "citronseam/process/random.h"

namespace citronseam {

void append(response_digest& check, std::string_view part) noexcept {
    check.total += part.size();
    check.checksum = hash_text(part, check.checksum);
}

bool is_next_part(const response_digest& check, std::uint64_t offset) noexcept {
    return check.total == offset;
}

bool is_whole(const response_digest& received, const response_digest& sent) noexcept {
    return received.total == sent.total && received.checksum == sent.checksum;
}

} // namespace citronseam
