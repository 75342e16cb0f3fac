#include "citronseam/connection/wire_message.h"

namespace citronseam {

shared_frame finish_frame(const flatbuffers::FlatBufferBuilder& builder) {
    const auto header = frame_header(builder.GetSize());
    auto frame = std::make_shared<std::vector<std::uint8_t>>();
    frame->reserve(header.size() + builder.GetSize());
    frame->insert(frame->end(), header.begin(), header.end());
    frame->insert(frame->end(), builder.GetBufferPointer(),
                  builder.GetBufferPointer() + builder.GetSize());
    return frame;
}

shared_frame make_data_frame(std::uint64_t request, std::uint64_t offset, std::string_view data) {
    constexpr std::size_t envelope_overhead = 96;
    flatbuffers::FlatBufferBuilder builder(data.size() + envelope_overhead);
    const auto bytes =
        builder.CreateVector(reinterpret_cast<const std::uint8_t*>(data.data()), data.size());
    const auto message = wire::Createresponse_data(builder, request, offset, bytes);
    builder.Finish(wire::Createenvelope(builder, wire::body::response_data, message.Union()));
    return finish_frame(builder);
}

std::string_view view(const flatbuffers::String* text) noexcept {
    return text == nullptr ? std::string_view{} : std::string_view{text->c_str(), text->size()};
}

std::string_view view(const flatbuffers::Vector<std::uint8_t>* bytes) noexcept {
    if (bytes == nullptr) {
        return {};
    }
    return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

std::vector<http_header>
headers_from_wire(const flatbuffers::Vector<flatbuffers::Offset<wire::header>>* headers) {
    std::vector<http_header> parsed;
    if (headers == nullptr) {
        return parsed;
    }
    for (const auto* header : *headers) {
        parsed.push_back({std::string(view(header->name())), std::string(view(header->value()))});
    }
    return parsed;
}

std::vector<std::unique_ptr<wire::headerT>>
headers_to_wire(const std::vector<http_header>& headers) {
    std::vector<std::unique_ptr<wire::headerT>> packed;
    for (const auto& header : headers) {
        auto row = std::make_unique<wire::headerT>();
        row->name = header.name;
        row->value = header.value;
        packed.push_back(std::move(row));
    }
    return packed;
}

run_verdict from_wire(wire::verdict verdict) noexcept {
    switch (verdict) {
    case wire::verdict::not_run:
        return run_verdict::not_run;
    case wire::verdict::ran:
        return run_verdict::ran;
    default:
        return run_verdict::may_have_run;
    }
}

wire::verdict to_wire(run_verdict verdict) noexcept {
    return static_cast<wire::verdict>(static_cast<std::uint8_t>(verdict));
}

refusal from_wire(wire::refusal reason) noexcept {
    if (reason > wire::refusal::MAX) {
        return refusal::backend_lost;
    }
    return static_cast<refusal>(static_cast<std::uint8_t>(reason));
}

wire::refusal to_wire(refusal reason) noexcept {
    return static_cast<wire::refusal>(static_cast<std::uint8_t>(reason));
}

static_assert(static_cast<std::uint8_t>(wire::refusal::MAX) ==
              static_cast<std::uint8_t>(refusal::key_settled));
static_assert(static_cast<std::uint8_t>(wire::verdict::MAX) ==
              static_cast<std::uint8_t>(run_verdict::may_have_run));

} // namespace citronseam
