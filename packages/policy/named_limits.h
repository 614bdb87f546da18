#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"
#include "policy/rate_parts.h"

namespace figspoke::policy {

struct named_limit_settings {
    /// Age of an upstream's latest statement at which its limit ends. Nodes that send to it hear each answer,
    /// so that only a node to which no answer and no message of a peer came reaches it.
    core::milliseconds lifetime{30000};
    /// Requests that a node which may send can save up: one, and those of this time at its part of the limit,
    /// since requests don't come evenly.
    core::milliseconds saved_time{250};
    /// Number of nodes that may send to an upstream, beside one for each request a second that it takes. Each
    /// of them may have saved a request, so their number bounds how far a moment can exceed the limit.
    std::size_t spare_senders = 2;
    std::size_t max_upstreams = 4000;
};

/// What an upstream last said of the rate of requests that it takes from all nodes together.
struct limit_statement {
    /// Requests a second; empty if it takes any number.
    std::optional<double> per_second;
    core::steady_time stated_at{};
};

/// The limits that upstreams have named, and the requests that this node may send within them.
struct named_limits {
    struct entry {
        limit_statement statement;
        rate_part part;
    };
    std::map<std::string, entry> upstreams;
};

/// Records a statement, unless a later one is known. Returns whether the limit has changed by it. An upstream
/// that never named a limit isn't recorded.
bool record_limit(named_limits& limits, const named_limit_settings& settings, const std::string& upstream,
                  const limit_statement& statement);

/// Returns the part of an upstream's limit that this node may use, in requests a second. A small limit is
/// divided among a few nodes that all nodes choose alike, so that the sum over a large fleet stays within it.
double limit_share(const named_limit_settings& settings, const std::string& upstream, double per_second,
                   const sender_place& place);

/// Returns the time from which the limit lets this node send the next request to the upstream: `now` if it
/// may send at once, `steady_time::max()` if other nodes send in its place.
core::steady_time next_send_within_limit(named_limits& limits, const named_limit_settings& settings,
                                         const std::string& upstream, const sender_place& place,
                                         core::steady_time now);

/// Returns whether a request may be sent to the upstream now.
bool may_send_within_limit(named_limits& limits, const named_limit_settings& settings,
                           const std::string& upstream, const sender_place& place, core::steady_time now);

/// Counts a request that is sent to the upstream.
void count_send(named_limits& limits, const std::string& upstream);

/// Removes limits whose statements have expired.
void expire_limits(named_limits& limits, const named_limit_settings& settings, core::steady_time now);

} // namespace figspoke::policy
