#include "policy/rollout_plan.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// Time at the full share in which a fault that only shows under load becomes visible.
constexpr core::milliseconds least_at_full{1500};

double part_elapsed(const rollout_clock& clock) {
    return clock.duration > core::nanoseconds(0)
               ? core::to_seconds(clock.elapsed) / core::to_seconds(clock.duration)
               : 1.0;
}

// How much later each following node writes, and the number of nodes that wait for each other.
constexpr core::milliseconds turn_step{900};
constexpr std::size_t max_turns = 5;

} // namespace

double trial_share(double exposure_share, const rollout_plan_settings& settings) {
    return std::min(settings.trial_part * exposure_share, settings.max_trial_share);
}

bool in_trial(const rollout_clock& clock, const rollout_plan_settings& settings) {
    return part_elapsed(clock) < settings.trial_end;
}

double planned_share(const rollout_clock& clock, rollout_verdict verdict, double exposure_share,
                     const rollout_plan_settings& settings) {
    const double trial = trial_share(exposure_share, settings);
    if (verdict == rollout_verdict::bad) {
        return 0;
    }
    if (in_trial(clock, settings) || verdict != rollout_verdict::good) {
        return trial;
    }
    return part_elapsed(clock) < settings.full_from ? std::max(trial, settings.middle_share) : 1.0;
}

bool repeat_leaves_target(const rollout_clock& clock, rollout_verdict verdict,
                          const rollout_plan_settings& settings) {
    return in_trial(clock, settings) || verdict != rollout_verdict::good;
}

bool may_write_state(core::nanoseconds waited, std::size_t rank) {
    return waited >= turn_step * std::int64_t(std::min(rank, max_turns));
}

bool may_complete(const rollout_clock& clock, rollout_verdict verdict, core::nanoseconds at_full_share,
                  int requests_on_old, const rollout_plan_settings& settings) {
    if (verdict != rollout_verdict::good || at_full_share < least_at_full) {
        return false;
    }
    return requests_on_old == 0 || part_elapsed(clock) >= settings.last_call;
}

} // namespace figspoke::policy
