#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figspoke::relay {

/// A complete server-sent event with its bytes as received.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id;
};

/// Returns whether an event may follow in a stream that another upstream has begun: it has an id, or it
/// consists of comments.
bool may_continue_stream(const stream_event& event);

/// Splits a stream of server-sent events into complete events, so that no partial event is forwarded. Lines
/// end with LF, CRLF or CR.
class event_splitter {
  public:
    /// Appends bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Returns the bytes of the incomplete event at the end of the stream.
    const std::string& incomplete_event() const { return pending_; }

    /// Returns whether a stream that ends here lacks a part of an event. Empty lines and whole comments after
    /// the last event belong to none.
    bool ends_within_event() const;

  private:
    std::string pending_;
    /// Number of pending bytes in which no event ends.
    std::size_t scanned_ = 0;
    /// A line has ended with the scanned bytes, so that an empty one would end the event.
    bool at_line_start_ = false;
    /// The last byte received is a CR. An LF that follows ends the same line.
    bool after_cr_ = false;
};

/// Maximum length of an event, in bytes.
inline constexpr std::size_t max_event_bytes = 1024U * 1024;

/// A streamed answer whose framing has ended.
struct ended_stream {
    /// The head doesn't name another type of content than events.
    bool may_hold_events = true;
    /// The answer has neither a length nor chunks.
    bool ended_with_connection = false;
    /// The caller has received a part of the stream from another upstream.
    bool continues_stream = false;
    /// `event_splitter::ends_within_event` at the end.
    bool within_event = false;
};

/// Returns whether an upstream broke its answer off, although its framing may be complete.
bool is_broken_off(const ended_stream& stream);

} // namespace figspoke::relay
