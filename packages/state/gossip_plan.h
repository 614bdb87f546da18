#pragma once

#include <cstddef>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// How often a node increments its heartbeat and sends digests, and the resulting health timeouts.
struct gossip_plan {
    core::milliseconds heartbeat_period{200};
    core::milliseconds send_period{200};
    health_timeouts timeouts;
};

/// Bytes per second that a node may spend on digests.
inline constexpr std::size_t default_digest_budget = 10000;

/// Computes periods and timeouts for a number of members and links, so that digests take at most
/// `bytes_per_s`, as far as the longest periods allow.
gossip_plan plan_gossip(std::size_t members, std::size_t links,
                        std::size_t bytes_per_s = default_digest_budget);

} // namespace figspoke::state
