#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figspoke::relay {

/// One whole event of a stream, with its bytes as they came.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id;
};

/// Cuts a stream of server-sent events into whole events, so that only whole ones are passed on.
class event_splitter {
  public:
    /// Takes bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// Bytes of an event that isn't whole yet.
    const std::string& rest() const { return pending_; }

  private:
    std::string pending_;
    std::size_t scanned_ = 0;
};

/// The longest event that is accepted, in bytes.
inline constexpr std::size_t max_event_bytes = 1024U * 1024;

} // namespace figspoke::relay
