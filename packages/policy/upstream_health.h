#pragma once

#include <chrono>
#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

enum class health_state { healthy, ejected, half_open };

struct health_settings {
    /// Consecutive failures at which an upstream is ejected.
    int consecutive_failures = 3;
    /// Share of failed requests at which an upstream is ejected, once it has `min_requests` decayed requests.
    double failure_share = 0.5;
    double min_requests = 10;
    std::chrono::seconds half_life{10};
    /// Duration of the first ejection; each failed probe doubles it, up to `max_ejection`.
    std::chrono::milliseconds ejection{5000};
    std::chrono::milliseconds max_ejection{60000};
    /// Largest share of the tracked upstreams that may be ejected at once. A node whose own network fails
    /// sees every upstream fail and must not eject them all.
    double max_ejected_share = 0.5;
    /// Consecutive successful probes that end an ejection.
    int probes = 2;
    /// Time after which a probe without a recorded outcome no longer blocks other probes.
    std::chrono::seconds probe_timeout{60};
};

/// Health of one upstream as observed by this node. `successes` and `failures` are decayed to `counted_at`.
struct upstream_health {
    health_state state = health_state::healthy;
    int consecutive_failures = 0;
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

/// Returns whether a request may be sent: the upstream is healthy or unknown, or its ejection has ended, no
/// probe is in flight and the request may be a probe. A request that can't be retried should not be a probe.
bool is_usable(const health_table& table, const std::string& name, core::steady_time now,
               bool may_probe = true);

/// Records that a request was sent. It is a probe if the upstream is not healthy and its ejection has ended.
void record_dispatch(health_table& table, const std::string& name, core::steady_time now);

/// Records that the upstream refused a connection. Its process is gone, so one such failure ejects it.
void record_refused_connection(health_table& table, const std::string& name, core::steady_time now);

/// Records how a request ended. Only failures of the upstream count, not refusals or errors of the caller.
/// Returns whether the upstream has recovered from an ejection by it.
bool record_outcome(health_table& table, const std::string& name, bool succeeded, core::steady_time now);

} // namespace figspoke::policy
