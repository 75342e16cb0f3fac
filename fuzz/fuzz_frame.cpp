// Checks that any byte stream splits into frames and that any frame is a valid envelope or is
// rejected. Valid envelopes are unpacked, so that a field outside the frame would be an
// out-of-bounds read that the address sanitizer reports.
#include <array>

#include "citronseam/connection/frame.h"
#include "citronseam/connection/wire_message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace citronseam;
    frame_decoder decoder;
    // The first byte sets the size of the reads, so that frames are split at many offsets.
    const std::size_t piece_bytes = size == 0 ? 1 : std::size_t{data[0]} + 1;
    for (std::size_t offset = 0; offset < size; offset += piece_bytes) {
        decoder.feed(data + offset, std::min(piece_bytes, size - offset));
        std::basic_string_view<std::uint8_t> payload;
        while (decoder.next(payload)) {
            if (is_valid_envelope(payload)) {
                wire::envelopeT unpacked_envelope;
                wire::Getenvelope(payload.data())->UnPackTo(&unpacked_envelope);
            }
        }
        if (decoder.is_oversized()) {
            return 0;
        }
    }
    // The whole input as a payload without the length prefix.
    const std::basic_string_view<std::uint8_t> input(data, size);
    if (is_valid_envelope(input)) {
        wire::envelopeT unpacked_envelope;
        wire::Getenvelope(data)->UnPackTo(&unpacked_envelope);
    }
    return 0;
}
