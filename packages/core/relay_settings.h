#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"

namespace figspoke::core {

/// Where a relay node listens; `IP:port` each.
struct relay_listen {
    std::string callers;
    std::string readiness;
    std::string directory;
    /// Beats (UDP) and documents (TCP) between nodes.
    std::string peers;
    std::string metrics;
};

/// Bounds that the operators of the platform promise or ask for.
struct relay_bounds {
    /// A withdrawn key must be without effect this long after the change was accepted.
    milliseconds revocation{5000};
    /// A change must be in effect this long after it was accepted.
    milliseconds change{2000};
    /// Time between the signal to stop and the end of the process.
    milliseconds grace{8000};
    /// Longest validity of an address answer.
    milliseconds entry_validity{5000};
    /// Pause after which a conversation is over.
    milliseconds session{5000};
    /// Repeats for each request within the window, and those allowed besides, for the whole fleet.
    double repeat_ratio = 0.1;
    double repeat_slack = 10;
    milliseconds repeat_window{10000};
    /// Part of a service's requests that a version under roll-out may get while it isn't proven good.
    double exposure_share = 0.1;
    /// Requests a second that a cold upstream may get, as a multiple of what it takes, and those allowed
    /// besides, for the whole fleet.
    double cold_ratio = 1.0;
    double cold_slack = 0;
    /// A failure domain must get no more requests this long after its evacuation was accepted.
    milliseconds evacuation{5000};
    /// An upstream must get no more requests this long after it said that it is leaving.
    milliseconds drain{2000};
};

/// Parts of the placement of requests that are switched on where upstreams call for them.
struct relay_placement {
    /// Weighs upstreams by the speed that their answers show, where speeds within a service differ.
    bool learned_speeds = false;
    /// Corrects the load of plain upstreams by what they state in their answers.
    bool stated_loads = false;
    /// Raises the requests of an upstream that has just started or recovered with the pace of its answers.
    bool paces = false;
    /// Grants the memory of a model engine to nodes that are about to choose it, in a large fleet.
    bool memory_grants = false;
};

/// Settings of a relay node.
struct relay_settings {
    std::string node_id;
    std::string failure_domain;
    std::string region;
    /// Region of each failure domain.
    std::map<std::string, std::string> regions;
    relay_listen listen;
    /// Addresses of nodes that may be up; only the IP counts.
    std::vector<std::string> seeds;
    /// `IP:port` of the platform's store.
    std::string store_address;
    /// Memory that the process may use.
    std::int64_t memory_mb = 256;
    /// Descriptors that the process may hold.
    std::int64_t descriptors = 4096;
    relay_bounds bounds;
    relay_placement placement;
    std::string log_level = "info";
};

/// Parses settings from TOML. The `bad_request` error names the key, its value and what is accepted.
result<relay_settings> parse_relay_settings(std::string_view text);

/// Reads and parses a settings file.
result<relay_settings> load_relay_settings(const std::string& path);

} // namespace figspoke::core
