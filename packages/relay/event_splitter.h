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

/// Splits a stream of server-sent events into complete events, so that no partial event is forwarded.
class event_splitter {
  public:
    /// Appends bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Returns the bytes of the incomplete event at the end of the stream.
    const std::string& incomplete_event() const { return pending_; }

  private:
    std::string pending_;
    std::size_t scanned_ = 0;
};

/// Maximum length of an event, in bytes.
inline constexpr std::size_t max_event_bytes = 1024U * 1024;

} // namespace figspoke::relay
