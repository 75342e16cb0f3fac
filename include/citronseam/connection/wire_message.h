/// @file
/// Encodes messages as frames and reads their fields.
#ifndef CITRONSEAM_CONNECTION_WIRE_MESSAGE_H
#define CITRONSEAM_CONNECTION_WIRE_MESSAGE_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citronseam/connection/frame.h"
#include "citronseam/request/idempotency_record.h"
#include "citronseam/request/verdict.h"
#include "generated/wire_generated.h"

namespace citronseam {

/// An encoded frame with its header. Shared, so that one frame can be sent on many connections.
using shared_frame = std::shared_ptr<const std::vector<std::uint8_t>>;

/// @return the frame of a finished FlatBuffers builder
shared_frame finish_frame(const flatbuffers::FlatBufferBuilder& builder);

/// Encodes one message, given in FlatBuffers' object API, as a frame.
/// @param message one of the tables of the union `wire::body`
template<typename Message>
shared_frame make_frame(Message message) {
    wire::envelopeT envelope;
    envelope.body.Set(std::move(message));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::envelope::Pack(builder, &envelope));
    return finish_frame(builder);
}

/// Encodes a part of a response body as a frame. This is the most frequent message, so it bypasses
/// the object API and its copies.
shared_frame make_data_frame(std::uint64_t request, std::uint64_t offset, std::string_view data);

/// @return the text of a FlatBuffers string, empty when it is absent
std::string_view view(const flatbuffers::String* text) noexcept;
/// @return the bytes of a FlatBuffers vector, empty when it is absent
std::string_view view(const flatbuffers::Vector<std::uint8_t>* bytes) noexcept;

/// @return the headers of a message, empty when they are absent
std::vector<http_header>
headers_from_wire(const flatbuffers::Vector<flatbuffers::Offset<wire::header>>* headers);
/// @return headers in FlatBuffers' object API
std::vector<std::unique_ptr<wire::headerT>>
headers_to_wire(const std::vector<http_header>& headers);

/// Conversions between the enumerations on the wire and those of the request logic. A value that
/// this version does not know becomes the conservative one: `may_have_run` or `backend_lost`.
run_verdict from_wire(wire::verdict verdict) noexcept;
wire::verdict to_wire(run_verdict verdict) noexcept;
refusal from_wire(wire::refusal reason) noexcept;
wire::refusal to_wire(refusal reason) noexcept;

} // namespace citronseam

#endif
