#include "policy/admission_activity.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// An account without requests for this long no longer reduces the fair share of the others.
constexpr std::chrono::seconds activity_window(30);

// Removes inactive accounts and sums the weights of the others.
void update_total_weight(account_activities& activities, core::steady_time now) {
    activities.total_weight = 0;
    for (auto it = activities.accounts.begin(); it != activities.accounts.end();) {
        const bool active = now - it->second.last_seen < activity_window;
        activities.total_weight += active ? it->second.weight : 0;
        it = active ? std::next(it) : activities.accounts.erase(it);
    }
    activities.weight_updated_at = now;
}

} // namespace

void record_arrival(account_activities& activities, const admission_request& request, double capacity,
                    core::steady_time now) {
    const auto [found, is_new] = activities.accounts.try_emplace(request.account);
    account_activity& activity = found->second;
    const double window_s = core::to_seconds(activity_window);
    const double elapsed_s = is_new ? 0 : core::to_seconds(now - activity.last_seen);
    activity.offered_load = activity.offered_load * std::exp(-elapsed_s / window_s) + request.work / window_s;
    activity.weight = request.weight;
    activity.first_seen = is_new ? now : activity.first_seen;
    activity.last_seen = now;
    if (is_new || now - activities.weight_updated_at > std::chrono::seconds(1)) {
        update_total_weight(activities, now);
    }
    if (!exceeds_fair_share(activities, request.account, capacity, now)) {
        record_event(activities.within_share_arrivals, now);
    }
}

// Uses the offered load rather than the number of running requests: an account that floods the queue has few
// requests running while it is held back.
bool exceeds_fair_share(const account_activities& activities, const std::string& account, double capacity,
                        core::steady_time now) {
    const auto found = activities.accounts.find(account);
    if (found == activities.accounts.end()) {
        return false;
    }
    const account_activity& activity = found->second;
    const double share = activity.weight / std::max(activities.total_weight, activity.weight);
    // The decaying mean starts at 0 and is too low for a new account, so it is divided by the fraction of the
    // window that has passed. The age is at least a few seconds, since a single large request would otherwise
    // put a new account above its share.
    constexpr std::chrono::nanoseconds min_age = std::chrono::seconds(8);
    const double age_s = core::to_seconds(std::max(min_age, now - activity.first_seen));
    const double window_fraction = 1 - std::exp(-age_s / core::to_seconds(activity_window));
    return activity.offered_load / window_fraction > std::max(1.0, share * capacity);
}

} // namespace figspoke::policy
