#include "citronseam/request/idempotency_record.h"

#include <nlohmann/json.hpp>

#include "citronseam/process/enum_names.h"
#include "citronseam/version/sha256.h"

namespace citronseam {
namespace {

constexpr std::array<enum_name<idempotency_state>, 3> state_names{{
    {idempotency_state::started, "started"},
    {idempotency_state::finished, "finished"},
    {idempotency_state::settled, "settled"},
}};

nlohmann::json headers_to_json(const std::vector<http_header>& headers) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& header : headers) {
        list.push_back({{"name", header.name}, {"value", header.value}});
    }
    return list;
}

std::vector<http_header> headers_from_json(const nlohmann::json& list) {
    std::vector<http_header> headers;
    for (const auto& entry : list) {
        headers.push_back({entry.at("name"), entry.at("value")});
    }
    return headers;
}

} // namespace

std::string_view name(idempotency_state state) noexcept {
    return find_name(state_names, state);
}

std::string key_row_name(std::string_view service, std::string_view workspace,
                         std::string_view key) {
    // The length prefixes distinguish ("a", "bc") from ("ab", "c").
    std::string text = std::to_string(service.size()) + ":" + std::string(service);
    text += std::to_string(workspace.size()) + ":" + std::string(workspace);
    text += key;
    return sha256_hex(text);
}

std::string to_json(const idempotency_record& record) {
    // JSON text is UTF-8 only. The agent stores bodies that are not UTF-8 in the object store.
    nlohmann::json json = {
        {"state", name(record.state)},
        {"attempt", record.attempt},
        {"agent", record.agent},
        {"fingerprint", record.fingerprint},
        {"expires_at_ms", record.expires_at_ms},
        {"status", record.response.status},
        {"headers", headers_to_json(record.response.headers)},
        {"body", record.response.body},
        {"answer_object", record.response_object},
        {"note", record.note},
    };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<idempotency_record> parse_idempotency_record(const std::string& text) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        idempotency_record record;
        const auto state = find_value(state_names, json.at("state").get<std::string>());
        if (!state) {
            return failure(error_code::corrupt, "a key row has an unknown state");
        }
        record.state = *state;
        record.attempt = json.at("attempt");
        record.agent = json.at("agent");
        record.fingerprint = json.at("fingerprint");
        record.expires_at_ms = json.at("expires_at_ms");
        record.response.status = json.at("status");
        record.response.headers = headers_from_json(json.at("headers"));
        record.response.body = json.at("body");
        record.response_object = json.at("answer_object");
        record.note = json.at("note");
        return record;
    } catch (const nlohmann::json::exception& exception) {
        return failure(error_code::corrupt,
                       std::string("a key row cannot be read: ") + exception.what());
    }
}

bool is_record_expired(const idempotency_record& record, std::uint64_t now_ms) noexcept {
    return now_ms > record.expires_at_ms;
}

idempotency_decision resolve_idempotency_key(const idempotency_record& record,
                                             std::string_view attempt,
                                             std::uint64_t fingerprint) noexcept {
    if (record.fingerprint != fingerprint) {
        return idempotency_decision::mismatch;
    }
    switch (record.state) {
    case idempotency_state::finished:
        return idempotency_decision::replay;
    case idempotency_state::settled:
        return idempotency_decision::settled;
    case idempotency_state::started:
        break;
    }
    return record.attempt == attempt ? idempotency_decision::run
                                     : idempotency_decision::in_progress;
}

} // namespace citronseam
