#include "policy/admission_shares.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// Long enough to span several requests, short enough to follow a surge.
constexpr double mean_time_s = 2.0;

bool others_wait(const std::array<std::size_t, core::priority_count>& waiting, std::size_t index) {
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (i != index && waiting.at(i) > 0) {
            return true;
        }
    }
    return false;
}

// Service is owed only while others compete for it: what a priority uses of an idle node isn't held against
// it. Owed service is bounded so that a long shortage isn't followed by a long reversal.
void advance_owed(priority_share& share, double floor_slots, bool waits, bool contended, double horizon_s,
                  double elapsed_s) {
    const double gained = floor_slots * elapsed_s;
    if (contended) {
        share.owed += gained - static_cast<double>(share.running) * elapsed_s;
    } else if (share.owed < 0) {
        share.owed = std::min(0.0, share.owed + gained);
    }
    if (!waits) {
        share.owed = std::min(share.owed, 0.0);
    }
    const double bound = std::max(2.0, 2 * floor_slots) * horizon_s;
    share.owed = std::clamp(share.owed, -bound, bound);
}

} // namespace

void advance(admission_shares& shares, const admission_settings& settings, double capacity,
             const std::array<std::size_t, core::priority_count>& waiting, core::steady_time now) {
    const double elapsed = std::max(0.0, core::to_seconds(now - shares.updated));
    const double horizon = core::to_seconds(settings.floor_horizon);
    const double keep = std::exp(-elapsed / mean_time_s);
    for (std::size_t i = 0; i < core::priority_count; ++i) {
        priority_share& share = shares.priorities.at(i);
        share.mean_running = keep * share.mean_running + (1 - keep) * static_cast<double>(share.running);
        advance_owed(share, settings.floors.at(i) * capacity, waiting.at(i) > 0, others_wait(waiting, i),
                     horizon, elapsed);
    }
    shares.updated = std::max(shares.updated, now);
}

bool is_below_floor(const admission_shares& shares, const admission_settings& settings, double capacity,
                    core::priority priority) {
    const auto index = static_cast<std::size_t>(priority);
    const priority_share& share = shares.priorities.at(index);
    const double owed_slots = share.owed / core::to_seconds(settings.floor_horizon);
    const double entitled = settings.floors.at(index) * capacity + owed_slots;
    constexpr double rounding = 1e-9;
    return static_cast<double>(share.running) + 1 <= entitled + rounding;
}

double expected_slots(const admission_shares& shares, const admission_settings& settings, double capacity,
                      core::priority priority) {
    const auto index = static_cast<std::size_t>(priority);
    double higher = 0;
    for (std::size_t i = 0; i < index; ++i) {
        higher += shares.priorities.at(i).mean_running;
    }
    return std::max(settings.floors.at(index) * capacity, capacity - higher);
}

} // namespace figspoke::policy
