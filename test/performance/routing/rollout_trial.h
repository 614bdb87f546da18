#pragma once

#include <cstdint>

#include "policy/sequential_test.h"

namespace figspoke::trials {

/// How the new version misbehaves once it has turned bad.
enum class bad_kind { none, fails_all, fails_half, wrong_answers };

struct rollout_settings {
    std::uint64_t seed = 1;
    bad_kind kind = bad_kind::none;
    std::size_t nodes = 7;
    /// Requests a second of the whole fleet; a tenth goes to the new version.
    double rate = 30;
    double turns_bad_s = 60;
    double horizon_s = 660;
    double step_s = 0.1;
    double gossip_s = 0.25;
    double rating_sample = 0.1;
    double mean_rating_lag_s = 20;
    policy::sequential_test_settings test;
    /// Stops at the first bad outcome that any node sees: the limit.
    bool knows_bad = false;
};

struct rollout_result {
    bool stopped = false;
    /// Requests sent to the new version after it turned bad.
    int exposed = 0;
    /// Requests sent to the new version in all.
    int served = 0;
};

/// Runs one rollout until the stop is in effect at every node, or to the horizon.
rollout_result run_rollout_trial(const rollout_settings& settings);

} // namespace figspoke::trials
