#pragma once

#include <cstddef>

#include "core/time.h"
#include "policy/rollout_verdict.h"

namespace figspoke::policy {

struct rollout_plan_settings {
    /// Part of the bound on exposure that the trial uses; the rest covers the time until a failure shows.
    double trial_part = 0.6;
    /// Largest share of the trial whatever the bound allows.
    double max_trial_share = 0.1;
    /// Part of the duration that belongs to the trial. Conversations may move to the new version only after
    /// it.
    double trial_end = 0.52;
    /// Part of the duration at which the whole traffic follows, after a step at `middle_share`.
    double full_from = 0.64;
    double middle_share = 0.35;
    /// Part of the duration after which the old upstreams' remaining requests are no longer waited for.
    double last_call = 0.92;
};

/// Where a roll-out stands in time.
struct rollout_clock {
    core::nanoseconds elapsed{0};
    core::nanoseconds duration{0};
};

/// Returns the share of new requests for the target version. It grows only after the trial and only for a
/// version that was found good, so that a bad one stays below the bound on exposure.
double planned_share(const rollout_clock& clock, rollout_verdict verdict, double exposure_share,
                     const rollout_plan_settings& settings);

/// Share of the trial under a bound on exposure.
double trial_share(double exposure_share, const rollout_plan_settings& settings);

/// Whether the trial is still on, in which conversations keep their version.
bool in_trial(const rollout_clock& clock, const rollout_plan_settings& settings);

/// Whether a request whose send to the target version failed is repeated on the old one. Not once the version
/// was found good and the trial is over: conversations stay on it then, and single failures blame the
/// upstream.
bool repeat_leaves_target(const rollout_clock& clock, rollout_verdict verdict,
                          const rollout_plan_settings& settings);

/// Tells whether the roll-out may be declared complete, which stops the old upstreams at once: the whole
/// traffic has moved, and nothing runs on the old version or the time is nearly over.
bool may_complete(const rollout_clock& clock, rollout_verdict verdict, core::nanoseconds at_full_share,
                  int requests_on_old, const rollout_plan_settings& settings);

/// Tells whether the node of this rank among the live members writes a state that waits to be written for
/// this long: the first at once, the next ones in turn.
bool may_write_state(core::nanoseconds waited, std::size_t rank);

} // namespace figspoke::policy
