#include "citronseam/request/response_digest.h"

#include "citronseam/process/random.h"

namespace citronseam {

void append(answer_check& check, std::string_view part) noexcept {
    check.total += part.size();
    check.checksum = hash_text(part, check.checksum);
}

bool is_next_part(const answer_check& check, std::uint64_t offset) noexcept {
    return check.total == offset;
}

bool is_whole(const answer_check& received, const answer_check& sent) noexcept {
    return received.total == sent.total && received.checksum == sent.checksum;
}

} // namespace citronseam
