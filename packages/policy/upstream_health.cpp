#include "policy/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// Bounds the exponent so that doubling can't overflow. `max_ejection` takes effect well before.
constexpr int max_doublings = 10;

bool may_eject_another(const health_table& table) {
    const auto ejected = std::count_if(table.upstreams.begin(), table.upstreams.end(), [](const auto& entry) {
        return entry.second.state != health_state::healthy;
    });
    const auto limit = table.settings.max_ejected_share * static_cast<double>(table.upstreams.size());
    return static_cast<double>(ejected + 1) <= limit;
}

void eject(const health_settings& settings, upstream_health& health, core::steady_time now) {
    const int doublings = std::min(health.ejections, max_doublings);
    const auto duration = std::min(settings.ejection * (1 << doublings), settings.max_ejection);
    ++health.ejections;
    health.state = health_state::ejected;
    health.ejected_until = now + duration;
    health.probes_in_flight = 0;
    health.probes_passed = 0;
}

void count_outcome(const health_settings& settings, upstream_health& health, bool succeeded,
                   core::steady_time now) {
    const double decay =
        std::exp2(-core::to_seconds(now - health.counted_at) / core::to_seconds(settings.half_life));
    health.successes *= decay;
    health.failures *= decay;
    health.counted_at = now;
    (succeeded ? health.successes : health.failures) += 1;
    health.consecutive_failures = succeeded ? 0 : health.consecutive_failures + 1;
}

bool is_outlier(const health_settings& settings, const upstream_health& health) {
    const double requests = health.successes + health.failures;
    return health.consecutive_failures >= settings.consecutive_failures ||
           (requests >= settings.min_requests && health.failures >= settings.failure_share * requests);
}

// Returns whether the probe ends the ejection.
bool record_probe(const health_settings& settings, upstream_health& health, bool succeeded,
                  core::steady_time now) {
    health.probes_in_flight = std::max(0, health.probes_in_flight - 1);
    if (!succeeded) {
        eject(settings, health, now);
        return false;
    }
    if (++health.probes_passed < settings.probes) {
        return false;
    }
    health = upstream_health{};
    health.counted_at = now;
    return true;
}

} // namespace

bool is_usable(const health_table& table, const std::string& name, core::steady_time now, bool may_probe) {
    const auto found = table.upstreams.find(name);
    if (found == table.upstreams.end() || found->second.state == health_state::healthy) {
        return true;
    }
    const auto& health = found->second;
    const bool probe_lost = now - health.probed_at >= table.settings.probe_timeout;
    return may_probe && now >= health.ejected_until && (health.probes_in_flight == 0 || probe_lost);
}

void record_dispatch(health_table& table, const std::string& name, core::steady_time now) {
    auto& health = table.upstreams[name];
    if (health.state != health_state::healthy && now >= health.ejected_until) {
        health.state = health_state::half_open;
        health.probes_in_flight = 1;
        health.probed_at = now;
    }
}

void record_refused_connection(health_table& table, const std::string& name, core::steady_time now) {
    auto& health = table.upstreams[name];
    // The failure recorded below then reaches `consecutive_failures`.
    health.consecutive_failures =
        std::max(health.consecutive_failures, table.settings.consecutive_failures - 1);
    record_outcome(table, name, false, now);
}

bool record_outcome(health_table& table, const std::string& name, bool succeeded, core::steady_time now) {
    auto& health = table.upstreams[name];
    if (health.state == health_state::half_open) {
        return record_probe(table.settings, health, succeeded, now);
    }
    // The request was sent before the ejection, so its outcome gives no new information.
    if (health.state == health_state::ejected) {
        return false;
    }
    count_outcome(table.settings, health, succeeded, now);
    if (!succeeded && is_outlier(table.settings, health) && may_eject_another(table)) {
        eject(table.settings, health, now);
    }
    return false;
}

} // namespace figspoke::policy
