/// @file
/// Cuts a `text/event-stream` body into whole events.
#ifndef CITRONSEAM_REQUEST_EVENT_STREAM_H
#define CITRONSEAM_REQUEST_EVENT_STREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronseam {

/// One whole event.
struct stream_event {
    std::string bytes;               ///< as they came, with the empty line at the end
    std::optional<std::uint64_t> id; ///< its `id` field, when that is a whole number
};

/// Bytes that have come and are not part of a whole event yet.
struct event_buffer {
    std::string pending;
};

/// Longest event that is taken. A sender that goes beyond it is treated as broken.
constexpr std::size_t largest_event = 1U << 20U;

/// Adds bytes.
/// @return false when the event that is under way is longer than largest_event
bool feed(event_buffer& buffer, std::string_view bytes);

/// @return the next whole event, or nothing until more bytes came
std::optional<stream_event> next_event(event_buffer& buffer);

/// What a stream's reader may do with an event, by its number.
enum class event_standing : std::uint8_t {
    next,     ///< it follows the last one
    repeated, ///< it was passed on already
    gap       ///< at least one event before it is missing
};

/// @param last the last event's number that was passed on, nothing for none
/// @param id   of the event; one without a number counts as the next
event_standing standing_of(std::optional<std::uint64_t> last,
                           std::optional<std::uint64_t> id) noexcept;

} // namespace citronseam

#endif
