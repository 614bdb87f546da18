#pragma once

#include <string>
#include <vector>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// Number of links that a node dials. About as many inbound links come from the choices of its peers.
inline constexpr std::size_t dialled_link_count = 3;

/// Returns the ids that `self` dials among the candidates: its successor on the hash ring, then members in
/// rendezvous order, with those in failure domains without a link first. All candidates if there are at most
/// `dialled_link_count`.
std::vector<std::string> choose_links(const member_entry& self,
                                      const std::vector<const member_entry*>& candidates);

/// Chooses links among the members that haven't failed or left.
std::vector<std::string> choose_links(const membership& known, const health_timeouts& timeouts,
                                      core::steady_time now);

/// Returns the id of a failed member to dial besides the chosen links, so that the two sides of a healed
/// partition find each other again. The choice may change every five seconds; empty if no member has failed.
std::string choose_probe_target(const membership& known, const health_timeouts& timeouts,
                                core::steady_time now);

} // namespace figspoke::state
