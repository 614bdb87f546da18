#include "policy/rate_parts.h"

#include <algorithm>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

// Keeps the wait for a request of a tiny share within the range of the clock.
constexpr double max_wait_s = 3600;

} // namespace

double share_of_rate(const std::string& upstream, double per_second, std::size_t senders,
                     const sender_place& place) {
    if (place.nodes.size() <= 1) {
        return per_second;
    }
    const auto count = std::min(senders, place.nodes.size());
    const auto ordered = core::rendezvous_order(upstream, place.nodes);
    const auto position = std::find(ordered.begin(), ordered.end(), place.self) - ordered.begin();
    return std::size_t(position) < count ? per_second / double(count) : 0;
}

void refill(rate_part& part, double most_saved, core::steady_time now) {
    if (now > part.updated_at) {
        part.saved += part.share * core::to_seconds(now - part.updated_at);
        part.updated_at = now;
    }
    part.saved = std::min(part.saved, most_saved);
}

core::steady_time next_take(const rate_part& part, core::steady_time now) {
    if (part.share <= 0) {
        return core::steady_time::max();
    }
    const double missing = std::max(1 - part.saved, 0.0);
    return now + std::chrono::duration_cast<core::steady_time::duration>(
                     std::chrono::duration<double>(std::min(missing / part.share, max_wait_s)));
}

void take(rate_part& part) {
    part.saved = std::max(part.saved - 1, 0.0);
}

} // namespace figspoke::policy
