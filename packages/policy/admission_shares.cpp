#include "policy/admission_shares.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// Long enough to span several requests, short enough to follow a surge.
constexpr double decay_time_s = 2.0;

bool has_other_waiting(const std::array<std::size_t, core::priority_count>& waiting, std::size_t index) {
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        if (i != index && waiting.at(i) > 0) {
            return true;
        }
    }
    return false;
}

// Service is owed only while other priorities have work waiting, so what a priority uses of an otherwise idle
// node isn't charged to it. Owed service is bounded so that after a long shortage the priority doesn't take
// the slots of the others for as long.
void update_owed_service(priority_share& share, double floor_slots, bool has_waiting, bool contended,
                         double horizon_s, double elapsed_s) {
    const double floor_service = floor_slots * elapsed_s;
    if (contended) {
        share.owed_service += floor_service - static_cast<double>(share.running) * elapsed_s;
    } else if (share.owed_service < 0) {
        share.owed_service = std::min(0.0, share.owed_service + floor_service);
    }
    if (!has_waiting) {
        share.owed_service = std::min(share.owed_service, 0.0);
    }
    const double bound = std::max(2.0, 2 * floor_slots) * horizon_s;
    share.owed_service = std::clamp(share.owed_service, -bound, bound);
}

} // namespace

void advance(admission_shares& shares, const admission_settings& settings, double capacity,
             const std::array<std::size_t, core::priority_count>& waiting, core::steady_time now) {
    const double elapsed_s = std::max(0.0, core::to_seconds(now - shares.updated_at));
    const double horizon_s = core::to_seconds(settings.floor_horizon);
    const double decay = std::exp(-elapsed_s / decay_time_s);
    for (std::size_t i = 0; i < core::priority_count; ++i) {
        priority_share& share = shares.priorities.at(i);
        share.mean_running = decay * share.mean_running + (1 - decay) * static_cast<double>(share.running);
        update_owed_service(share, settings.floors.at(i) * capacity, waiting.at(i) > 0,
                            has_other_waiting(waiting, i), horizon_s, elapsed_s);
    }
    shares.updated_at = std::max(shares.updated_at, now);
}

bool is_below_floor(const admission_shares& shares, const admission_settings& settings, double capacity,
                    core::priority priority) {
    const auto index = static_cast<std::size_t>(priority);
    const priority_share& share = shares.priorities.at(index);
    const double owed_slots = share.owed_service / core::to_seconds(settings.floor_horizon);
    const double entitled = settings.floors.at(index) * capacity + owed_slots;
    constexpr double rounding = 1e-9;
    return static_cast<double>(share.running) + 1 <= entitled + rounding;
}

double expected_slots(const admission_shares& shares, const admission_settings& settings, double capacity,
                      core::priority priority) {
    const auto index = static_cast<std::size_t>(priority);
    double more_urgent = 0;
    for (std::size_t i = 0; i < index; ++i) {
        more_urgent += shares.priorities.at(i).mean_running;
    }
    return std::max(settings.floors.at(index) * capacity, capacity - more_urgent);
}

} // namespace figspoke::policy
