#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// This node's place among the nodes that serve requests.
struct sender_place {
    std::string self;
    /// Ids of all nodes that send requests, including this one.
    std::vector<std::string> nodes;
    /// Differs whenever `nodes` does.
    std::uint64_t version = 0;
};

/// One node's part of a rate that all nodes share, as a token bucket. Answers the load of a fleet in which
/// any node may send to one upstream and no request may cost a message between nodes.
struct rate_part {
    /// Requests that may be sent at once.
    double saved = 0;
    core::steady_time updated_at{};
    /// Requests a second, as of `share_version` of the list of nodes; to be computed anew where that is
    /// empty.
    double share = 0;
    std::optional<std::uint64_t> share_version;
};

/// Returns this node's part of a rate that is divided equally among `senders` nodes. All nodes with the same
/// list choose the same senders for an upstream, so that the parts add up to the rate.
double share_of_rate(const std::string& upstream, double per_second, std::size_t senders,
                     const sender_place& place);

/// Adds what was saved since the last call, up to `most_saved` requests.
void refill(rate_part& part, double most_saved, core::steady_time now);

/// Returns the time from which the part allows the next request: `now` if it does already, and
/// `steady_time::max()` if this node is none of the senders.
core::steady_time next_take(const rate_part& part, core::steady_time now);

/// Takes one request out of the part.
void take(rate_part& part);

} // namespace figspoke::policy
