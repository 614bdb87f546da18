#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/membership.h"

namespace figspoke::state {

/// What changed of a member since the last digest on the same link. Absent values are unchanged.
struct member_delta {
    /// The sender's index for the member on the link.
    std::uint64_t index = 0;
    /// Increase of the heartbeat.
    std::uint64_t heartbeat_increment = 0;
    member_state state = member_state::joining;
    std::optional<std::uint8_t> load;
    std::optional<std::uint64_t> table_revision;
    std::optional<std::uint64_t> roster_version;
};

/// Encodes deltas, which must be in ascending order of index. Most take two or three bytes.
std::string encode_deltas(const std::vector<member_delta>& deltas);

/// Decodes deltas; empty if the bytes are malformed.
std::optional<std::vector<member_delta>> decode_deltas(std::string_view bytes);

} // namespace figspoke::state
