#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http_client.h"
#include "adapters/metrics.h"
#include "adapters/wakeup.h"
#include "core/relay_settings.h"
#include "policy/answer_progress.h"
#include "policy/cold_limits.h"
#include "policy/crash_ledger.h"
#include "policy/memory_budget.h"
#include "policy/named_limits.h"
#include "policy/prefill.h"
#include "policy/relay_choice.h"
#include "policy/relay_queue.h"
#include "policy/repeat_budget.h"
#include "policy/rollout_verdict.h"
#include "policy/session_pins.h"
#include "policy/stated_load.h"
#include "policy/stop_plan.h"
#include "policy/stream_pace.h"
#include "policy/trial_evidence.h"
#include "policy/upstream_health.h"
#include "policy/upstream_pace.h"
#include "policy/upstream_restrictions.h"
#include "policy/upstream_speed.h"
#include "policy/version_counts.h"
#include "relay/document_codec.h"
#include "relay/document_source.h"
#include "relay/event_log.h"
#include "relay/fleet.h"
#include "relay/load_aggregators.h"
#include "relay/upstream_link.h"
#include "relay/wire_protocol.h"
#include "state/route_table.h"
#include "state/shared_document.h"
#include "state/upstream_registry.h"

namespace figspoke::relay {

/// The state of a roll-out at this node.
struct rollout_progress {
    rollout_order order;
    rollout_status status;
    /// Start of the roll-out: the earliest time known from the order, the stored status or a peer.
    core::steady_time started_at{};
    /// This node's counts when it first saw the order; only later requests are evaluated.
    policy::version_counts_table counts_at_start;
    /// Request counts of all processes of the fleet since then, including this one.
    policy::trial_evidence evidence;
    /// Fraction of new requests that use the target version.
    double share = 0;
    policy::rollout_verdict verdict = policy::rollout_verdict::unknown;
    policy::failure_trend trend;
    /// Time at which the share reached 1.
    std::optional<core::steady_time> full_share_since;
    /// The target version was found bad and gets no more requests, even if the store doesn't say so yet.
    bool stopped = false;
    /// Whether the store holds a status for the order, and whether this node has read it.
    bool written = false;
    bool status_read = false;
    /// Time since which a state has been due to be written.
    std::optional<core::steady_time> write_due_since;
    /// Earliest time of the next call to the store.
    core::steady_time retry_at{};
};

/// A roll-out whose order was replaced or removed a short time ago. An older copy of the store may hold it.
struct past_rollout {
    rollout_progress progress;
    core::steady_time ended_at{};
};

/// A send that makes no progress.
struct stall {
    core::milliseconds silence{0};
    /// Whether the upstream sends no byte to any node.
    bool silent_to_all = false;
};

/// A send that waits for the next byte from its upstream and whose request another upstream could take over.
struct waiting_send {
    std::string upstream;
    upstream_link_ptr link;
    /// Time of the last progress.
    core::steady_time since{};
    policy::stream_pauses pauses;
    /// Called again and again while the send is stalled.
    std::function<void(const stall&)> on_stall;
};

/// A send of a request that isn't known to be sound yet.
struct unproven_send {
    std::shared_ptr<const policy::request_fingerprints> fingerprints;
    upstream_link_ptr link;
    /// `crash_ledger::changes` when the request was last found not to be refused.
    std::uint64_t checked_changes = 0;
    /// The request is refused, but runs once more to show whether it is the cause.
    bool trial = false;
    /// The request was found to crash upstreams, and the connection was closed for that.
    bool closed = false;
};

/// The result of a connection probe of an upstream.
struct upstream_probe {
    core::steady_time at{};
    bool running = true;
    bool alive = false;
};

/// The state that the coroutines of one relay node share. The node runs on one thread, so there are no locks.
/// No reference into a container may be held across a suspension.
struct relay_state {
    relay_state(boost::asio::io_context& io, core::relay_settings from, wire_protocol wire,
                platform_port store);

    boost::asio::io_context& context;
    core::relay_settings settings;
    wire_protocol protocol;
    platform_port platform;
    event_log log;
    adapters::metrics metrics;
    /// Bytes held on behalf of callers and upstreams.
    policy::memory_budget memory;
    std::mt19937_64 random;

    std::array<state::shared_document, document_count> documents;
    /// The documents as peers fetch them.
    std::array<packed_document, document_count> packed;
    /// When the store was last noticed to have come back from an older copy.
    core::steady_time store_returned_at = core::steady_time::min();
    state::route_table_ptr routes;
    state::upstream_registry registry;
    std::map<std::string, rollout_progress> rollouts;
    std::vector<past_rollout> past_rollouts;
    /// Era of the document whose roll-out orders were last applied.
    state::store_era rollout_era;

    std::unique_ptr<fleet> peers;
    /// Load aggregators of the upstreams, used in a large fleet.
    std::unique_ptr<load_aggregators> aggregators;
    adapters::http_client peer_client;
    /// Whether a document is being fetched from a peer.
    std::array<bool, document_count> fetching{};
    /// Time of the latest confirmation that was forwarded to other cells immediately.
    std::array<core::steady_time, document_count> last_forwarded{};
    upstream_pool pool;
    /// This node's requests, by upstream.
    std::map<std::string, upstream_use> uses;
    /// Time of the last byte from each upstream to this node.
    std::map<std::string, core::steady_time> last_byte_at;
    /// Sends that wait for a byte and whose requests could move to another upstream, by request number.
    std::map<std::uint64_t, waiting_send> waiting_sends;
    /// Sends that may still crash their upstreams, by request number.
    std::map<std::uint64_t, unproven_send> unproven_sends;
    /// Probes of upstreams that sent no byte to any node.
    std::map<std::string, upstream_probe> probes;
    /// Upstreams that are probed since a connection to them broke.
    std::set<std::string> crash_watches;
    policy::prefill_rates prefill;
    policy::speed_table speeds;
    /// The latest load that each upstream stated to this node.
    std::map<std::string, policy::stated_load> stated_loads;
    /// Upstreams that have just started or recovered.
    policy::pace_table upstream_paces;
    policy::usual_times usual_first_bytes;
    policy::stream_paces paces;
    policy::prefix_cache_index prefixes;
    policy::health_table health;
    /// Time until which upstreams that reported to be full get no requests.
    std::map<std::string, core::steady_time> full_until;
    /// Limits that upstreams have named.
    policy::named_limits limits;
    /// Failure domains whose upstreams get no new requests, by the operator's order.
    std::set<std::string> evacuated;
    /// What upstreams have said to this node of further requests.
    policy::upstream_notices notices;
    policy::cold_limits cold;
    /// Upstreams that were seen to be down, and when, of which peers have not been told.
    std::map<std::string, core::steady_time> untold_down;
    std::map<std::string, policy::repeat_budget> budgets;
    policy::version_counts_table versions;
    policy::crash_ledger crashes;
    /// Earliest time of this node's next trial of a refused request.
    core::steady_time next_crash_trial{};
    policy::session_pins sessions;

    policy::relay_queue queue;
    std::map<std::uint64_t, std::shared_ptr<adapters::wakeup>> waiting;
    std::uint64_t next_request = 1;
    /// Set once the process was told to stop. It still serves requests, but callers are referred to other
    /// nodes.
    std::optional<policy::stop_plan> stop;
    /// Handlers of the requests that are served, by request number, which end those whose answers have not
    /// begun. Called shortly before the process exits.
    std::map<std::uint64_t, std::function<void()>> stop_handlers;
    /// The process is ending: no new work starts, and the loops end.
    bool stopped = false;
};

/// Returns the settings by which outcomes of requests determine the health of upstreams.
policy::health_settings upstream_health_settings();

/// Returns a random number in [0, 1).
double draw(relay_state& node);

/// Returns the time since a document was last known to be current; the maximum if it never was.
core::nanoseconds document_age(const relay_state& node, document_kind kind, core::steady_time now);

/// Returns whether the fleet is so large that load aggregators are used.
bool asks_load_aggregators(const relay_state& node);

/// Records an event of a request on an upstream, locally and at the upstream's load aggregator.
void record_upstream_event(relay_state& node, const std::string& upstream, policy::upstream_event event);

/// Records how long an upstream took, locally and at the upstream's load aggregator.
void record_upstream_speed(relay_state& node, const std::string& upstream,
                           const policy::speed_sample& sample);

/// Returns whether the node has the routes and the registry that it needs to serve requests.
bool is_configured(const relay_state& node);

/// Returns whether callers may be referred to this node: it is configured and not leaving.
bool is_ready(const relay_state& node);

/// Wakes the next queued request for a service.
void wake_next(relay_state& node, const std::string& service);

/// Reports the sends whose upstream sends no more bytes to their requests, which look for another upstream.
/// An upstream that accepts connections is assumed to be busy and gets more time. `paused` is the time for
/// which this node itself was paused since the last call, which doesn't count as silence of the upstream.
void report_stalled_sends(relay_state& node, core::nanoseconds paused);

/// Finds out with connections whether an upstream whose connection broke has crashed, and records the crash
/// if it has. Ends once the upstream has accepted one long enough after the last that broke.
void probe_for_crash(relay_state& node, const std::string& upstream);

/// Records the crash of an upstream that was found to be down or restarted at `crashed_at`.
void confirm_upstream_crash(relay_state& node, const std::string& upstream, core::steady_time crashed_at);

/// Returns whether this node may now run a refused request once, and reserves the trial if so.
bool begin_crash_trial(relay_state& node, const policy::request_fingerprints& fingerprints);

/// Closes the connections of sends whose requests were found to crash upstreams.
void close_refused_sends(relay_state& node);

/// Returns the maximum age of a confirmation at which requests with a key are admitted: the bound minus a
/// margin for timers that fire late.
core::milliseconds key_confirmation_limit(const core::relay_bounds& bounds);

} // namespace figspoke::relay
