#include "policy/rollout.h"

#include <cmath>
#include <cstdint>
#include <limits>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

// Weighted rendezvous hashing: the probability that a candidate has the smallest exponential draw
// -log(u)/weight is proportional to its weight. Raising one weight only moves conversations to that version.
double exponential_draw(const std::string& conversation, const core::model_version& version) {
    const auto hash = core::stable_hash(conversation + '\n' + version.id);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0; // 2^53
    return -std::log(uniform) / version.rollout_percent;
}

} // namespace

const core::model_version* choose_rollout_version(const std::string& conversation,
                                                  const std::vector<const core::model_version*>& candidates) {
    const core::model_version* best = nullptr;
    double smallest = std::numeric_limits<double>::infinity();
    for (const auto* candidate : candidates) {
        if (candidate->rollout_percent <= 0) {
            continue;
        }
        const double draw = exponential_draw(conversation, *candidate);
        if (draw < smallest) {
            smallest = draw;
            best = candidate;
        }
    }
    return best;
}

} // namespace figspoke::policy
