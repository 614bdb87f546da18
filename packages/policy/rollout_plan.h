#pragma once

#include <cstddef>

#include "core/time.h"
#include "policy/rollout_verdict.h"

namespace figspoke::policy {

/// A roll-out has a trial, in which the new version gets a small share of the requests, and then grows in two
/// steps to the whole traffic.
struct rollout_plan_settings {
    /// Fraction of the bound on exposure that the trial uses; the rest covers the time until a failure is
    /// detected.
    double trial_exposure_fraction = 0.6;
    /// Largest share of requests in the trial, whatever the bound allows.
    double max_trial_share = 0.1;
    /// Fraction of the roll-out's duration after which the trial ends. Conversations may move to the new
    /// version only then.
    double trial_end = 0.52;
    /// Fraction of the duration from which the new version gets all requests; before that, it gets
    /// `middle_share`.
    double full_share_from = 0.64;
    double middle_share = 0.35;
    /// Fraction of the duration from which the roll-out may complete although requests still run on the old
    /// version.
    double drain_until = 0.92;
};

/// Elapsed and total time of a roll-out.
struct rollout_timing {
    core::nanoseconds elapsed{0};
    core::nanoseconds duration{0};
};

/// Returns the share of new requests for the target version. It grows only after the trial and only for a
/// version whose verdict is good, so that a bad one stays below the bound on exposure.
double planned_share(const rollout_timing& timing, rollout_verdict verdict, double exposure_share,
                     const rollout_plan_settings& settings);

/// Returns the share of requests in the trial under a bound on exposure.
double trial_share(double exposure_share, const rollout_plan_settings& settings);

/// Returns whether the trial is running; conversations keep their version until it ends.
bool in_trial(const rollout_timing& timing, const rollout_plan_settings& settings);

/// Returns whether a request whose send to the target version failed is repeated on the old version. After
/// the trial of a good version it is not: conversations stay on the target version then, and a single failure
/// is attributed to the upstream.
bool repeats_on_old_version(const rollout_timing& timing, rollout_verdict verdict,
                            const rollout_plan_settings& settings);

/// Returns whether the roll-out may be declared complete, which stops the old upstreams at once: the new
/// version gets all requests, and either none run on the old version or the duration is nearly over.
bool may_complete(const rollout_timing& timing, rollout_verdict verdict, core::nanoseconds at_full_share,
                  int requests_on_old, const rollout_plan_settings& settings);

/// Returns whether a node may write the state of a roll-out that has been waiting to be written for this
/// long. `rank` is the node's position among the live members: the first may write at once, the others one
/// after the other.
bool may_write_state(core::nanoseconds waited, std::size_t rank);

} // namespace figspoke::policy
