#include "citronseam/request/response_digest.h"

#include "citronseam/process/random.h"

namespace citronseam {

void append(response_digest& digest, std::string_view part) noexcept {
    digest.total += part.size();
    digest.checksum = hash_text(part, digest.checksum);
}

bool is_next_part(const response_digest& digest, std::uint64_t offset) noexcept {
    return digest.total == offset;
}

bool is_body_complete(const response_digest& received, const response_digest& sent) noexcept {
    return received.total == sent.total && received.checksum == sent.checksum;
}

} // namespace citronseam
