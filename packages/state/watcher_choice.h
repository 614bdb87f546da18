#pragma once

#include <string>
#include <vector>

#include "state/membership.h"

namespace figspoke::state {

/// The nodes of a failure domain that watch the configuration table.
inline constexpr std::size_t watchers_per_domain = 2;

/// Returns the ids of the watchers among the serving members, by rendezvous in each failure domain.
std::vector<std::string> choose_watchers(const std::vector<const member_entry*>& serving);

} // namespace figspoke::state
