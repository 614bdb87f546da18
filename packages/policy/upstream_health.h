#pragma once

#include <chrono>
#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

enum class health_state { healthy, ejected, half_open };

struct health_settings {
    /// Failures in a row that eject an upstream.
    int consecutive_failures = 3;
    /// Share of failures that ejects an upstream, once `min_requests` decayed requests are known.
    double failure_share = 0.5;
    double min_requests = 10;
    std::chrono::seconds half_life{10};
    /// Time of the first ejection; it doubles with each failed probe.
    std::chrono::milliseconds ejection{5000};
    std::chrono::milliseconds max_ejection{60000};
    /// Largest share of the tracked upstreams that is ejected at once. A node whose own network fails sees
    /// every upstream fail and must not eject them all.
    double max_ejected_share = 0.5;
    /// Successful probes in a row that end an ejection.
    int probes = 2;
    /// A probe whose outcome was never recorded stops blocking others after this time.
    std::chrono::seconds probe_timeout{60};
};

/// What a node has seen of one upstream.
struct upstream_health {
    health_state state = health_state::healthy;
    int consecutive = 0;
    double successes = 0;
    double failures = 0;
    core::steady_time counted_at;
    core::steady_time ejected_until;
    int ejections = 0;
    int probes_in_flight = 0;
    int probes_passed = 0;
    core::steady_time probed_at;
};

/// Health of the upstreams that a node tracks, by name. Upstreams without an entry don't count towards the
/// share that may be ejected.
struct health_table {
    health_settings settings;
    std::map<std::string, upstream_health> upstreams;
};

/// Tells whether a request may be sent: the upstream is healthy, or its ejection has ended, no probe is in
/// flight and the request may be a probe. An unknown upstream is healthy. Work that can't be retried should
/// not be a probe.
bool is_usable(const health_table& table, const std::string& name, core::steady_time now,
               bool may_probe = true);

/// Records that a request was sent; it is a probe where the upstream's ejection has ended.
void record_dispatch(health_table& table, const std::string& name, core::steady_time now);

/// Records that the upstream refuses connections: its process is gone, so that one such failure ejects it.
void record_refused_connection(health_table& table, const std::string& name, core::steady_time now);

/// Records how a request ended. Only failures of the upstream count: not refusals or callers' errors.
void record_outcome(health_table& table, const std::string& name, bool succeeded, core::steady_time now);

} // namespace figspoke::policy
