#include "policy/admission_activity.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// Accounts that were silent for longer no longer reduce the share of the others.
constexpr std::chrono::seconds activity_window(30);

void update_weight(account_activities& activities, core::steady_time now) {
    activities.weight = 0;
    for (auto it = activities.accounts.begin(); it != activities.accounts.end();) {
        const bool active = now - it->second.last_seen < activity_window;
        activities.weight += active ? it->second.weight : 0;
        it = active ? std::next(it) : activities.accounts.erase(it);
    }
    activities.weight_updated = now;
}

} // namespace

void note_arrival(account_activities& activities, const admission_request& request, double capacity,
                  core::steady_time now) {
    const auto [found, is_new] = activities.accounts.try_emplace(request.account);
    account_activity& activity = found->second;
    const double window_s = core::to_seconds(activity_window);
    const double elapsed_s = is_new ? 0 : core::to_seconds(now - activity.last_seen);
    activity.offered = activity.offered * std::exp(-elapsed_s / window_s) + request.work / window_s;
    activity.weight = request.weight;
    activity.first_seen = is_new ? now : activity.first_seen;
    activity.last_seen = now;
    if (is_new || now - activities.weight_updated > std::chrono::seconds(1)) {
        update_weight(activities, now);
    }
    if (!is_heavy(activities, request.account, capacity, now)) {
        note_event(activities.light_arrivals, now);
    }
}

// What an account has running says less than what it asks for: one that floods the queue has few requests
// running as long as it is held back.
bool is_heavy(const account_activities& activities, const std::string& account, double capacity,
              core::steady_time now) {
    const auto found = activities.accounts.find(account);
    if (found == activities.accounts.end()) {
        return false;
    }
    const account_activity& activity = found->second;
    const double share = activity.weight / std::max(activities.weight, activity.weight);
    // The mean of an account that was first seen a moment ago holds too little; a few seconds are needed lest
    // one large request makes an account heavy.
    constexpr std::chrono::nanoseconds least_age = std::chrono::seconds(8);
    const double age_s = core::to_seconds(std::max(least_age, now - activity.first_seen));
    const double filled = 1 - std::exp(-age_s / core::to_seconds(activity_window));
    return activity.offered / filled > std::max(1.0, share * capacity);
}

} // namespace figspoke::policy
