#include "state/gossip_plan.h"

#include <algorithm>

namespace figspoke::state {
namespace {

using core::milliseconds;

// Shorter periods would hardly speed up failure detection, since the suspicion timeout has a lower bound.
constexpr milliseconds min_period{200};
constexpr milliseconds max_period{2000};

// An update crosses one link per send period; about five links separate two nodes among 380.
constexpr milliseconds max_send_period{250};

// A delta takes two to three bytes. Since digests can cross on a link, a member's heartbeat passes a link
// about one and a half times, both directions together.
constexpr double bytes_per_delta = 2.6;
constexpr double sends_per_link = 0.75;

// Size of a digest without entries: its CBOR map and the WebSocket header.
constexpr double bytes_per_digest = 90;

milliseconds round_up(double seconds) {
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(seconds));
}

health_timeouts timeouts_for(milliseconds heartbeat, milliseconds send) {
    health_timeouts timeouts;
    // Three lost heartbeats and two late relays don't raise suspicion. At most three seconds, the time within
    // which a node must detect that it is cut off.
    timeouts.suspect = std::clamp(4 * heartbeat + 2 * send, milliseconds(1000), milliseconds(3000));
    timeouts.failed = std::max(milliseconds(5000), 3 * timeouts.suspect);
    return timeouts;
}

} // namespace

gossip_plan plan_gossip(std::size_t members, std::size_t links, std::size_t bytes_per_s) {
    const double link_count = double(std::max<std::size_t>(links, 1));
    const double delta_bytes = double(members) * bytes_per_delta * link_count * sends_per_link;
    const double digest_bytes = bytes_per_digest * link_count;
    gossip_plan plan;
    // In small fleets every heartbeat is sent at once, so heartbeats and digests share one period.
    const auto shared_period = round_up((delta_bytes + digest_bytes) / double(bytes_per_s));
    plan.send_period = std::clamp(shared_period, min_period, max_send_period);
    const double delta_bytes_per_s = double(bytes_per_s) - digest_bytes / core::to_seconds(plan.send_period);
    const auto required_period =
        round_up(delta_bytes / std::max(delta_bytes_per_s, double(bytes_per_s) / 10));
    plan.heartbeat_period = std::clamp(std::max(required_period, plan.send_period), min_period, max_period);
    plan.timeouts = timeouts_for(plan.heartbeat_period, plan.send_period);
    return plan;
}

} // namespace figspoke::state
