#include "citronseam/version/weights_proof.h"

#include <nlohmann/json.hpp>

#include "citronseam/process/json_number.h"
#include "citronseam/version/sha256.h"

namespace citronseam {

std::string fingerprint_of(const manifest& list) {
    std::string text = std::to_string(list.chunk_size);
    for (const chunk& entry : list.chunks) {
        if (entry.is_disputed) {
            return {};
        }
        text += ' ' + entry.hash;
    }
    return sha256_hex(text);
}

std::string to_json(const weights_proof& proof) {
    return nlohmann::json{{"version", proof.version}, {"list", proof.fingerprint}}.dump();
}

result<weights_proof> parse_weights_proof(const std::string& text) {
    try {
        const auto value = nlohmann::json::parse(text);
        const auto fingerprint = parse_sha256_hex(value.at("list").get_ref<const std::string&>());
        if (!fingerprint) {
            throw std::invalid_argument("it names no list");
        }
        return weights_proof{read_whole_number<std::uint64_t>(value.at("version")), *fingerprint};
    } catch (const std::exception& exception) {
        return failure(error_code::protocol, std::string("a weights proof's row cannot be read: ") +
                                                 shortened(exception.what()));
    }
}

} // namespace citronseam
