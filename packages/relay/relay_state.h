#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http_client.h"
#include "adapters/metrics.h"
#include "adapters/wakeup.h"
#include "core/relay_settings.h"
#include "policy/crash_ledger.h"
#include "policy/prefill.h"
#include "policy/relay_budget.h"
#include "policy/relay_choice.h"
#include "policy/relay_queue.h"
#include "policy/rollout_verdict.h"
#include "policy/session_pins.h"
#include "policy/trial_evidence.h"
#include "policy/upstream_health.h"
#include "policy/version_counts.h"
#include "relay/document_codec.h"
#include "relay/document_source.h"
#include "relay/event_log.h"
#include "relay/fleet.h"
#include "relay/load_keepers.h"
#include "relay/upstream_link.h"
#include "relay/wire_protocol.h"
#include "state/route_table.h"
#include "state/shared_document.h"
#include "state/upstream_registry.h"

namespace figspoke::relay {

/// Where a roll-out stands at this node.
struct rollout_progress {
    rollout_order order;
    rollout_status status;
    /// When this node first saw the order, less the time that the status says had passed.
    core::steady_time began{};
    /// Own counts at the start of the order, so that only what came since is judged.
    policy::version_counts_table counts_at_start;
    /// What the processes of the fleet saw since then, this one included.
    policy::trial_evidence evidence;
    /// Part of new requests that go to the target version.
    double share = 0;
    policy::rollout_verdict verdict = policy::rollout_verdict::unknown;
    /// Since when the whole traffic goes to the target version.
    std::optional<core::steady_time> full_since;
    /// The version was found bad: nothing more goes to it, whatever the store says yet.
    bool stopped = false;
    /// Whether the store holds a status for the order, and whether this node has read it.
    bool written = false;
    bool status_read = false;
    /// Since when a state waits to be written.
    std::optional<core::steady_time> wanted_since;
    /// Earliest time of the next call to the store.
    core::steady_time retry_at{};
};

/// A stream that waits for its next byte.
struct waiting_stream {
    std::string upstream;
    upstream_link_ptr link;
    core::steady_time since{};
    /// Silence after which the upstream is given up, if it is silent to everybody.
    core::milliseconds patience{0};
    /// Silence after which it is given up in any case.
    core::milliseconds limit{0};
};

/// Whether an upstream accepts connections, as a probe found.
struct upstream_probe {
    core::steady_time at{};
    bool running = true;
    bool alive = false;
};

/// Everything that the coroutines of one relay node share. The node runs on one thread, so nothing here is
/// locked; no reference into a container may be held across a suspension.
struct relay_state {
    relay_state(boost::asio::io_context& io, core::relay_settings from, wire_protocol wire,
                platform_port store);

    boost::asio::io_context& context;
    core::relay_settings settings;
    wire_protocol protocol;
    platform_port platform;
    event_log log;
    adapters::metrics metrics;
    std::mt19937_64 random;

    std::array<state::shared_document, document_count> documents;
    /// The documents as peers fetch them.
    std::array<packed_document, document_count> packed;
    state::route_table_ptr routes;
    state::upstream_registry registry;
    std::map<std::string, rollout_progress> rollouts;

    std::unique_ptr<fleet> peers;
    /// Accounts of the load of upstreams in a large fleet.
    std::unique_ptr<load_keepers> keepers;
    adapters::http_client peer_client;
    /// Whether a document is being fetched from a peer.
    std::array<bool, document_count> fetching{};
    /// The latest confirmation that was passed on to other cells at once.
    std::array<core::steady_time, document_count> passed_on{};
    upstream_pool pool;
    /// This node's own requests by upstream.
    std::map<std::string, upstream_use> uses;
    /// When an upstream last sent a byte to this node.
    std::map<std::string, core::steady_time> heard;
    /// Streams that wait for a byte and could go on elsewhere, by request number.
    std::map<std::uint64_t, waiting_stream> streams;
    /// Probes of upstreams that were silent to everybody.
    std::map<std::string, upstream_probe> probes;
    policy::prefill_rates prefill;
    policy::prefix_memory prefixes;
    policy::health_table health;
    /// Until when upstreams that said they are full are left alone.
    std::map<std::string, core::steady_time> full_until;
    std::map<std::string, policy::repeat_budget> budgets;
    policy::version_counts_table versions;
    policy::crash_ledger crashes;
    policy::session_pins sessions;

    policy::relay_queue queue;
    std::map<std::uint64_t, std::shared_ptr<adapters::wakeup>> waiting;
    std::uint64_t next_request = 1;
    /// The process was told to stop: it serves on, but callers are sent elsewhere.
    bool leaving = false;
    /// Nothing new begins; the loops end.
    bool stopped = false;
};

/// How upstreams are judged by the outcomes of requests.
policy::health_settings upstream_health_settings();

/// Draws a number in [0, 1).
double draw(relay_state& node);

/// The age of the last confirmation of a document.
core::nanoseconds document_age(const relay_state& node, document_kind kind, core::steady_time now);

/// Whether the fleet is so large that the load of upstreams is asked of their keepers.
bool asks_keepers(const relay_state& node);

/// Notes what a request showed of an upstream, here and at its keeper.
void note_upstream_event(relay_state& node, const std::string& upstream, policy::upstream_event event);

/// Whether the node has read what it needs to serve.
bool is_configured(const relay_state& node);

/// Whether callers may be sent here: configured and not leaving.
bool is_ready(const relay_state& node);

/// Wakes the next request that waits for the service.
void wake_next(relay_state& node, const std::string& service);

/// Closes the connections of streams whose upstream has fallen silent, so that they go on elsewhere. An
/// upstream that accepts connections is taken for busy and given more time.
/// `paused` is how long this node itself stood still since the last call: silence meanwhile proves nothing.
void end_silent_streams(relay_state& node, core::nanoseconds paused);

/// Longest age of a confirmation at which requests with a key are admitted: the bound less a margin for
/// timers that fire late.
core::milliseconds key_confirmation_limit(const core::relay_bounds& bounds);

} // namespace figspoke::relay
