// Any stream of bytes is cut into frames, and any frame is an envelope or is refused. What passes
// the check is read through, so that a field outside the frame would show.
#include <array>

#include "citronseam/connection/frame.h"
#include "citronseam/connection/wire_message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace citronseam;
    frame_decoder decoder;
    // The first byte sets the size of the pieces, so that frames are cut at many places.
    const std::size_t piece = size == 0 ? 1 : std::size_t{data[0]} + 1;
    for (std::size_t at = 0; at < size; at += piece) {
        decoder.feed(data + at, std::min(piece, size - at));
        std::basic_string_view<std::uint8_t> payload;
        while (decoder.next(payload)) {
            if (is_valid_envelope(payload)) {
                wire::envelopeT unpacked;
                wire::Getenvelope(payload.data())->UnPackTo(&unpacked);
            }
        }
        if (decoder.is_oversized()) {
            return 0;
        }
    }
    // The payload alone, without the length before it.
    const std::basic_string_view<std::uint8_t> whole(data, size);
    if (is_valid_envelope(whole)) {
        wire::envelopeT unpacked;
        wire::Getenvelope(data)->UnPackTo(&unpacked);
    }
    return 0;
}
