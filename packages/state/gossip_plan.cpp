#include "state/gossip_plan.h"

#include <algorithm>

namespace figspoke::state {
namespace {

using core::milliseconds;

// Faster beats don't shorten the detection of a failure by more than the least suspicion timeout.
constexpr milliseconds min_period{200};
constexpr milliseconds max_period{2000};

// News cross one link in each send period; about five links separate two of 380 nodes.
constexpr milliseconds max_send_period{250};

// A short entry takes two to three bytes, and with crossing digests an entry passes a link about one and a
// half times in both directions together.
constexpr double bytes_per_beat = 2.6;
constexpr double sends_per_link = 0.75;

// A digest without entries: its CBOR map and the WebSocket header.
constexpr double bytes_per_digest = 90;

milliseconds round_up(double seconds) {
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(seconds));
}

health_timeouts timeouts_for(milliseconds heartbeat, milliseconds send) {
    health_timeouts timeouts;
    // Three lost beats and a relay that is late twice don't raise suspicion. Not above three seconds, the
    // time within which a node notices that it is cut off.
    timeouts.suspect = std::clamp(4 * heartbeat + 2 * send, milliseconds(1000), milliseconds(3000));
    timeouts.failed = std::max(milliseconds(5000), 3 * timeouts.suspect);
    return timeouts;
}

} // namespace

gossip_plan plan_gossip(std::size_t members, std::size_t links, std::size_t bytes_per_s) {
    const double link_count = double(std::max<std::size_t>(links, 1));
    const double beat_bytes = double(members) * bytes_per_beat * link_count * sends_per_link;
    const double digest_bytes = bytes_per_digest * link_count;
    gossip_plan plan;
    // At small sizes every beat is sent at once, so both parts share one period.
    const auto shared = round_up((beat_bytes + digest_bytes) / double(bytes_per_s));
    plan.send_period = std::clamp(shared, min_period, max_send_period);
    const double left = double(bytes_per_s) - digest_bytes / core::to_seconds(plan.send_period);
    const auto wanted = round_up(beat_bytes / std::max(left, double(bytes_per_s) / 10));
    plan.heartbeat_period = std::clamp(std::max(wanted, plan.send_period), min_period, max_period);
    plan.timeouts = timeouts_for(plan.heartbeat_period, plan.send_period);
    return plan;
}

} // namespace figspoke::state
