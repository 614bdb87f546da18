#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace figspoke::adapters {

/// Receives the data of one server-sent event; returns false to stop.
using sse_handler = std::function<bool(std::string_view data)>;

/// The unread rest of a stream of server-sent events.
struct sse_buffer {
    std::string pending;
    /// Number of pending bytes in which no event ends.
    std::size_t searched = 0;
};

/// The longest event that is accepted, in bytes.
inline constexpr std::size_t max_sse_event_bytes = 1024 * 1024;

/// Feeds bytes of a stream and calls the handler for each complete event. Returns false where the handler
/// stopped or an event is too long.
bool feed_sse(sse_buffer& buffer, std::string_view bytes, const sse_handler& handler);

/// Renders one event.
std::string render_sse(std::string_view data);

} // namespace figspoke::adapters
