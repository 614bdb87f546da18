#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/membership.h"

namespace figspoke::state {

/// A short entry: what changed of a member since the last digest on the same link.
struct short_entry {
    /// The link's number for the member.
    std::uint64_t index = 0;
    /// How much the heartbeat advanced.
    std::uint64_t advance = 0;
    member_state state = member_state::joining;
    std::optional<std::uint8_t> load;
    std::optional<std::uint64_t> table_revision;
    std::optional<std::uint64_t> roster_version;
};

/// Packs short entries, which must be in rising order of index. Most take two or three bytes.
std::string pack_beats(const std::vector<short_entry>& beats);

/// Unpacks short entries; empty where the bytes are malformed.
std::optional<std::vector<short_entry>> unpack_beats(std::string_view bytes);

} // namespace figspoke::state
