#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "policy/engine_memory.h"
#include "policy/upstream_health.h"
#include "policy/upstream_pace.h"
#include "policy/upstream_speed.h"
#include "policy/upstream_use.h"

namespace figspoke::policy {

/// What happened to a request on an upstream.
enum class upstream_event {
    dispatched,
    succeeded,
    failed,
    full,
    connection_refused,
    /// Succeeded, but later than is usual.
    succeeded_late
};
inline constexpr int upstream_event_count = 6;

/// Returns what an event says of the pace of its upstream; empty if nothing.
std::optional<pace_answer> pace_answer_of(upstream_event event);

/// One node's load on an upstream, as it reports it to the upstream's load aggregator.
struct node_load_report {
    std::string node;
    /// Identifies the process of the node; a restarted process has a higher one.
    std::uint64_t incarnation = 0;
    /// Rises with each report of a process.
    std::uint64_t sequence = 0;
    upstream_use use;
};

/// Load and health of an upstream, as its load aggregator returns them to other nodes.
struct aggregated_load {
    /// Sum over all nodes.
    upstream_use use;
    /// Whether recent failures, on any node, have ejected the upstream.
    bool suspect = false;
    /// Whether the upstream reported less than `load_table_settings::full_pause` ago that it is full.
    bool full = false;
    /// Learned speeds, by measure.
    std::array<std::optional<known_speed>, speed_measure_count> speeds;
    /// Requests at once that the upstream gets while it doesn't bear its part yet.
    std::optional<int> pace_limit;
};

struct load_table_settings {
    /// Age at which a node's report is dropped. Nodes repeat their reports several times within it, so the
    /// requests of a dead node stop counting after it.
    core::milliseconds report_lifetime{1500};
    /// Time for which an upstream that reported that it is full gets no requests.
    core::milliseconds full_pause{120};
    health_settings health;
    speed_settings speed;
    pace_settings pace;
    engine_memory_settings memory;
};

/// Load and health of the upstreams for which this node is the load aggregator.
struct load_table {
    struct entry {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        upstream_use use;
        core::steady_time received_at{};
    };
    /// The latest report of each node: by upstream, then by node.
    std::map<std::string, std::map<std::string, entry>> reports;
    health_table health;
    std::map<std::string, core::steady_time> full_until;
    speed_table speeds;
    pace_table paces;
    memory_grants grants;
};

/// Stores a node's report, unless a later one of the same node is stored already.
void record_load(load_table& table, const std::string& upstream, const node_load_report& report,
                 core::steady_time now);

/// Records what happened to a request of any node on the upstream. Returns whether the upstream has recovered
/// by it.
bool record_event(load_table& table, const load_table_settings& settings, const std::string& upstream,
                  upstream_event event, core::steady_time now);

/// Returns the load of an upstream, summed over the current reports of all nodes, and its health. Its tokens
/// include granted memory.
aggregated_load aggregate_load(const load_table& table, const load_table_settings& settings,
                               const std::string& upstream, core::steady_time now);

/// Removes reports that are older than their lifetime.
void expire_loads(load_table& table, const load_table_settings& settings, core::steady_time now);

/// Returns the member that is the load aggregator of an upstream, by rendezvous hashing: all nodes with the
/// same member list choose the same one, and the loss of a member reassigns only its own upstreams. Empty
/// where there are no members.
std::string aggregator_of(const std::string& upstream, const std::vector<std::string>& members);

struct shortlist_settings {
    /// Number of upstreams from the front of the prefix's rendezvous order.
    std::size_t owners = 3;
    /// Number of further upstreams that are drawn at random, for prefixes whose owners are busy.
    std::size_t others = 3;
};

/// Returns the upstreams whose load a node asks for before it sends a request: the first owners of the prefix
/// and some random others. Asking for all of them would cost one message for each upstream and request.
/// `prefix` is 0 for requests without a prompt, which have no owners; `draws` are at least `owners + others`
/// random numbers in [0, 1).
std::vector<std::string> shortlist(std::uint64_t prefix, const std::vector<std::string>& upstreams,
                                   const std::vector<double>& draws, const shortlist_settings& settings);

} // namespace figspoke::policy
