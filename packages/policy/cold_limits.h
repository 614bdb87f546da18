#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"
#include "policy/rate_parts.h"

namespace figspoke::policy {

/// How many requests cold upstreams of a service take.
struct cold_limit_settings {
    /// Requests a second that a cold upstream takes from all nodes together; zero if upstreams are never
    /// cold.
    double per_second = 0;
    /// Most requests that it may get within any second.
    double most_in_second = 0;
    /// Time after its start in which an upstream is cold.
    core::milliseconds cold_start{0};
    /// Time in which the registration of a running upstream tells that it is cold.
    core::milliseconds check_in_delay{3000};
    /// Time in which a restart, or the end of a registration for lack of check-ins, is told.
    core::milliseconds news_delay{5000};
    std::size_t max_upstreams = 4000;
};

/// What an upstream's registration says of its cold time.
struct cold_statement {
    std::int64_t incarnation = 0;
    core::milliseconds cold_for{0};
};

/// What this node knows of an upstream that is or may be cold.
struct cold_record {
    std::optional<cold_statement> told;
    core::steady_time told_until = core::steady_time::min();
    /// When the upstream was last seen to be down.
    core::steady_time down_at = core::steady_time::min();
    /// Until when it may be cold without this node having read so, and from when on a confirmation of the
    /// registry shows that it isn't.
    core::steady_time assumed_until = core::steady_time::min();
    core::steady_time disproved_from = core::steady_time::min();
    rate_part part;
};

/// Upstreams that are or may be cold. Answers the load on an upstream that has just started: it takes few
/// requests a second and crashes well above that, while all nodes find it empty.
struct cold_limits {
    std::map<std::string, cold_record> upstreams;
};

/// The number of nodes that may send to a cold upstream, what each may save up, and the rate of all together.
struct cold_division {
    std::size_t senders = 0;
    double most_saved = 0;
    double per_second = 0;
};

/// Divides the rate of a cold upstream so that no second holds more than the allowed requests, even if all
/// senders have saved as much as they may.
cold_division divide_cold_rate(const cold_limit_settings& settings, std::size_t nodes);

/// Records what a registration says. Returns whether the upstream has become cold by it. A new incarnation
/// replaces what was assumed of the earlier one.
bool record_cold_statement(cold_limits& limits, const cold_limit_settings& settings,
                           const std::string& upstream, const cold_statement& statement,
                           core::steady_time now);

/// Records that the upstream was seen to be down while its registration was `registered`: it may return at
/// any moment, and cold. Returns whether that is news, which it is at most once a second.
bool record_down(cold_limits& limits, const cold_limit_settings& settings, const std::string& upstream,
                 const cold_statement& registered, core::steady_time at);

/// Records that the upstream may be cold until the registry says otherwise, for example at the end of an
/// evacuation.
void assume_cold(cold_limits& limits, const cold_limit_settings& settings, const std::string& upstream,
                 const cold_statement& registered, core::steady_time now);

/// Ends the assumptions that the registration, as confirmed at this time, has proved wrong.
void confirm_running(cold_limits& limits, const std::string& upstream, core::steady_time confirmed_at);

/// Returns whether the upstream is or may be cold.
bool is_cold(const cold_limits& limits, const std::string& upstream, core::steady_time now);

/// Returns the time from which the cold limit lets this node send the next request to the upstream: `now` if
/// it may send at once, `steady_time::max()` if other nodes send in its place until the upstream is warm.
core::steady_time next_cold_send(cold_limits& limits, const cold_limit_settings& settings,
                                 const std::string& upstream, const sender_place& place,
                                 core::steady_time now);

/// Counts a request that is sent to the upstream.
void count_cold_send(cold_limits& limits, const std::string& upstream);

/// Takes back the count of a request that another upstream refused at the address.
void uncount_cold_send(cold_limits& limits, const std::string& upstream);

/// Removes records of upstreams that are warm.
void expire_cold_limits(cold_limits& limits, core::steady_time now);

} // namespace figspoke::policy
