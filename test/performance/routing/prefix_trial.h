#pragma once

#include <cstdint>

#include "policy/upstream_choice.h"

namespace figspoke::trials {

struct prefix_settings {
    std::uint64_t seed = 1;
    int requests = 60000;
    std::size_t nodes = 7;
    std::size_t upstreams = 12;
    /// Requests a second; the mean use of the slots is about 0.6.
    double rate = 20;
    std::size_t prefixes = 600;
    /// Prefixes that the cache of one upstream holds.
    std::size_t cached = 30;
    double load_lag_s = 0.5;
    double event_lag_s = 1;
    /// Every n-th cache event is lost.
    std::uint64_t event_gap = 5;
    policy::upstream_settings choice;
    /// Exact loads and cache contents at each moment: the limit.
    bool knows_state = false;
};

struct prefix_result {
    /// Share of requests with a prefix that found it in the upstream's cache.
    double hit_share = 0;
    /// Work of the busiest upstream relative to the mean over the run.
    double peak_load = 0;
    double mean_wait_s = 0;
    double refused = 0;
};

/// Runs the upstream choice of several nodes over one trace.
prefix_result run_prefix_trial(const prefix_settings& settings);

} // namespace figspoke::trials
