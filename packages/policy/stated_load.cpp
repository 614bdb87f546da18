#include "policy/stated_load.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {

int estimate_peer_requests(int told_by_peers, const std::optional<stated_load>& stated,
                           const stated_load_settings& settings, core::steady_time now) {
    if (!stated || now - stated->at > settings.lifetime) {
        return told_by_peers;
    }
    const auto& statement = stated->statement;
    // Numbers on the wire may be anything; the sum is taken in a wider type.
    const auto others = std::int64_t(statement.running) + statement.waiting - stated->own_requests;
    const auto most = std::int64_t(told_by_peers) + std::max(statement.slots, 1);
    const auto seen = double(std::clamp<std::int64_t>(others, 0, most));
    const double weight =
        std::exp2(-core::to_seconds(now - stated->at) / core::to_seconds(settings.half_life));
    return int(std::lround(weight * seen + (1 - weight) * told_by_peers));
}

} // namespace figspoke::policy
