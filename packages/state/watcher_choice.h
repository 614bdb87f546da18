#pragma once

#include <string>
#include <vector>

#include "state/membership.h"

namespace figspoke::state {

/// Number of nodes in each failure domain that watch the configuration table in the key-value service.
inline constexpr std::size_t watchers_per_domain = 2;

/// Returns the ids of the watchers among the serving members, chosen by rendezvous hashing in each failure
/// domain.
std::vector<std::string> choose_watchers(const std::vector<const member_entry*>& serving);

} // namespace figspoke::state
