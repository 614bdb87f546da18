#pragma once

#include <string>
#include <vector>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// The links that one node dials. The peers' choices add about as many inbound ones.
inline constexpr std::size_t dialled_links = 3;

/// Returns the ids that `self` dials among the candidates: its ring successor, then rendezvous picks that
/// prefer failure domains not yet linked. All candidates where there are at most `dialled_links`.
std::vector<std::string> choose_links(const member_entry& self,
                                      const std::vector<const member_entry*>& candidates);

/// The same among the members that haven't failed or left.
std::vector<std::string> choose_links(const membership& known, const health_timeouts& timeouts,
                                      core::steady_time now);

/// Returns a failed member to dial besides the chosen links, so that two sides of a healed partition find
/// each other again. Another one every five seconds; empty where none failed.
std::string choose_probe(const membership& known, const health_timeouts& timeouts, core::steady_time now);

} // namespace figspoke::state
