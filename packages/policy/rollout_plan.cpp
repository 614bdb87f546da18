#include "policy/rollout_plan.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// Time at the full share that a fault needs to show if it occurs only under load.
constexpr core::milliseconds min_time_at_full_share{1500};

double elapsed_fraction(const rollout_timing& timing) {
    return timing.duration > core::nanoseconds(0)
               ? core::to_seconds(timing.elapsed) / core::to_seconds(timing.duration)
               : 1.0;
}

// Delay between the writes of consecutive nodes, and the number of nodes after which the delay stops growing.
constexpr core::milliseconds write_delay_step{900};
constexpr std::size_t max_delay_steps = 5;

} // namespace

double trial_share(double exposure_share, const rollout_plan_settings& settings) {
    return std::min(settings.trial_exposure_fraction * exposure_share, settings.max_trial_share);
}

bool in_trial(const rollout_timing& timing, const rollout_plan_settings& settings) {
    return elapsed_fraction(timing) < settings.trial_end;
}

double planned_share(const rollout_timing& timing, rollout_verdict verdict, double exposure_share,
                     const rollout_plan_settings& settings) {
    const double trial = trial_share(exposure_share, settings);
    if (verdict == rollout_verdict::bad) {
        return 0;
    }
    if (in_trial(timing, settings) || verdict != rollout_verdict::good) {
        return trial;
    }
    return elapsed_fraction(timing) < settings.full_share_from ? std::max(trial, settings.middle_share) : 1.0;
}

bool repeats_on_old_version(const rollout_timing& timing, rollout_verdict verdict,
                            const rollout_plan_settings& settings) {
    return in_trial(timing, settings) || verdict != rollout_verdict::good;
}

bool may_write_state(core::nanoseconds waited, std::size_t rank) {
    return waited >= write_delay_step * std::int64_t(std::min(rank, max_delay_steps));
}

bool may_complete(const rollout_timing& timing, rollout_verdict verdict, core::nanoseconds at_full_share,
                  int requests_on_old, const rollout_plan_settings& settings) {
    if (verdict != rollout_verdict::good || at_full_share < min_time_at_full_share) {
        return false;
    }
    return requests_on_old == 0 || elapsed_fraction(timing) >= settings.drain_until;
}

} // namespace figspoke::policy
