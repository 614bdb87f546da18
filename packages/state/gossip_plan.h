#pragma once

#include <cstddef>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// How often a node raises its heartbeat and sends digests, and the timeouts that follow.
struct gossip_plan {
    core::milliseconds heartbeat_period{200};
    core::milliseconds send_period{200};
    health_timeouts timeouts;
};

/// Bytes a second that a node may spend on digests.
inline constexpr std::size_t default_digest_budget = 10000;

/// Plans for a number of members and links so that digests take at most `bytes_per_s`.
gossip_plan plan_gossip(std::size_t members, std::size_t links,
                        std::size_t bytes_per_s = default_digest_budget);

} // namespace figspoke::state
