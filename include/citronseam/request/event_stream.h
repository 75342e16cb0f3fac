/// @file
/// Splits a `text/event-stream` body into complete events.
#ifndef CITRONSEAM_REQUEST_EVENT_STREAM_H
#define CITRONSEAM_REQUEST_EVENT_STREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronseam {

/// One complete event.
struct stream_event {
    std::string bytes;               ///< unmodified, including the terminating empty line
    std::optional<std::uint64_t> id; ///< its `id` field, if it is an unsigned integer
};

/// Received bytes that do not form a complete event yet.
struct event_buffer {
    std::string pending;
};

/// Maximum size of an event. A sender that exceeds it is treated as faulty.
constexpr std::size_t max_event_bytes = 1U << 20U;

/// Appends received bytes.
/// @return false when the incomplete event is longer than max_event_bytes
bool feed(event_buffer& buffer, std::string_view bytes);

/// @return the next complete event, or nothing when more bytes are needed
std::optional<stream_event> next_event(event_buffer& buffer);

/// @return whether an event has only comment lines, such as those that keep a connection alive
bool is_comment(const stream_event& event) noexcept;

/// Position of an event relative to the last one forwarded, by event number.
enum class event_order : std::uint8_t {
    next,      ///< directly follows the last one
    duplicate, ///< was already forwarded
    gap        ///< at least one event in between is missing, or it is no event of this stream
};

/// @param last_id number of the last event forwarded, empty for none
/// @param id      number of the event. One without a number counts as next only in a stream that
///                does not number its events: in any other it is text that the server wrote there.
event_order classify_event(std::optional<std::uint64_t> last_id,
                           std::optional<std::uint64_t> id) noexcept;

} // namespace citronseam

#endif
