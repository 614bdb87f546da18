#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "core/time.h"

namespace figspoke::relay {

/// Writes structured log lines and bounds the rate of those about requests. Suppressed lines are counted, and
/// the count is written in the next second with request lines.
class event_log {
  public:
    /// Writes a line about a request. At most `max_request_lines_per_s` are written.
    void request(const nlohmann::json& line);

    /// Writes a line about a change of the node's state: the kind of event and its fields. Not rate-limited.
    void state(const std::string& event, nlohmann::json line);

  private:
    void write(const nlohmann::json& line);

    core::steady_time window_start_{};
    int lines_in_window_ = 0;
    std::uint64_t suppressed_ = 0;
};

/// Bounds the volume to a few hundred kilobytes a second, about twice the usual peak of one node.
inline constexpr int max_request_lines_per_s = 400;

} // namespace figspoke::relay
