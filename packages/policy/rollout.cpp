#include "policy/rollout.h"

#include <cmath>
#include <cstdint>
#include <limits>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

// Weighted rendezvous hashing: the candidate with the least exponential draw -log(u)/weight wins with a
// chance proportional to its weight. Raising one weight only moves conversations to that version.
double draw(const std::string& conversation, const core::model_version& version) {
    const auto hash = core::stable_hash(conversation + '\n' + version.id);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0; // 2^53
    return -std::log(uniform) / version.rollout_percent;
}

} // namespace

const core::model_version* choose_rollout_version(const std::string& conversation,
                                                  const std::vector<const core::model_version*>& candidates) {
    const core::model_version* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const auto* candidate : candidates) {
        if (candidate->rollout_percent <= 0) {
            continue;
        }
        const double value = draw(conversation, *candidate);
        if (value < least) {
            least = value;
            best = candidate;
        }
    }
    return best;
}

} // namespace figspoke::policy
