#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/membership.h"

namespace figspoke::state {

/// Returns the id of the serving member that owns a journal shard, chosen by rendezvous hashing; empty if
/// there is no serving member.
std::string choose_shard_owner(std::uint32_t shard, const std::vector<const member_entry*>& serving);

} // namespace figspoke::state
