#include "relay/relay_state.h"

#include <algorithm>
#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "core/erase_where.h"
#include "policy/send_move.h"
#include "relay/boot_clock.h"
#include "relay/candidates.h"
#include "relay/paces.h"
#include "relay/restrictions.h"

namespace figspoke::relay {
namespace {

// Idle connections to one upstream; a few suffice for the steady load of one node.
constexpr std::size_t max_idle_per_upstream = 8;
constexpr std::size_t bytes_per_mb = 1024U * 1024;
constexpr core::milliseconds key_confirmation_margin{350};
// A working upstream sends a token to some node within this time, unless it is in the prefill of long
// prompts.
constexpr core::milliseconds upstream_silence{900};
// A running process accepts a probe's connection within milliseconds. The result is valid for as long as the
// silence that caused the probe.
constexpr core::milliseconds probe_timeout{300};
constexpr core::milliseconds probe_lifetime{900};
// A few members try refused requests, one after the other, so that the outcome of one trial reaches the next
// before its turn.
constexpr std::size_t trial_nodes = 4;
constexpr core::milliseconds trial_stagger{4000};
constexpr core::milliseconds trial_interval{3000};

// A long prompt has thousands of fingerprints.
constexpr std::size_t max_logged_fingerprints = 32;

policy::request_fingerprints first_fingerprints(policy::request_fingerprints fingerprints) {
    fingerprints.resize(std::min(fingerprints.size(), max_logged_fingerprints));
    return fingerprints;
}

// What a connection probe tells of an upstream.
enum class survival { down, undecided, survived };

// Tries a connection to an upstream. It may be accepted as soon as it is begun, so that it tells of that
// time.
survival try_connection(relay_state& node, const std::string& id, const std::string& address,
                        const boost::asio::yield_context& yield) {
    const auto began = boot_now();
    node.probes[id] = {began, true, false};
    const auto link = std::make_shared<upstream_link>(node.context);
    const auto connected = link->connect(address, probe_timeout, yield);
    const bool alive = connected.has_value();
    link->close();
    node.probes[id] = {boot_now(), false, alive};
    node.log.state("upstream_probed", {{"upstream", id}, {"accepts_connections", alive}});
    if (!alive) {
        record_upstream_down(node, id, connected.error().cause);
        confirm_upstream_crash(node, id, began);
        return survival::down;
    }
    return policy::record_accepted_connection(node.crashes, {}, id, began) ? survival::undecided
                                                                           : survival::survived;
}

void probe(relay_state& node, const std::string& id, const std::string& address) {
    node.probes[id] = {boot_now(), true, false};
    boost::asio::spawn(
        node.context,
        [&node, id, address](const boost::asio::yield_context& yield) {
            try_connection(node, id, address, yield);
        },
        boost::asio::detached);
}

// Tries an upstream until it is down, gone or has survived the ends of all its connections.
void watch_for_crash(relay_state& node, const std::string& id, const boost::asio::yield_context& yield) {
    while (!node.stopped) {
        const auto entry = node.registry.upstreams.find(id);
        if (entry == node.registry.upstreams.end()) {
            break;
        }
        const auto address = entry->second.entry.address;
        if (try_connection(node, id, address, yield) != survival::undecided) {
            break;
        }
        adapters::sleep_for(policy::crash_ledger_settings{}.survival_time, yield);
    }
    node.crash_watches.erase(id);
}

// Returns whether an upstream that sends no byte to any node doesn't accept connections either. Starts a
// probe if there is no valid result, and returns false until it ends.
bool is_unreachable(relay_state& node, const std::string& id) {
    const auto entry = node.registry.upstreams.find(id);
    if (entry == node.registry.upstreams.end()) {
        return true;
    }
    const auto known = node.probes.find(id);
    if (known != node.probes.end() &&
        (known->second.running || boot_now() - known->second.at < probe_lifetime)) {
        return !known->second.running && !known->second.alive;
    }
    probe(node, id, entry->second.entry.address);
    return false;
}

} // namespace

relay_state::relay_state(boost::asio::io_context& io, core::relay_settings from, wire_protocol wire,
                         platform_port store)
    : context(io), settings(std::move(from)), protocol(std::move(wire)), platform(std::move(store)),
      memory(policy::divide_memory(std::size_t(settings.memory_mb) * bytes_per_mb)),
      random(std::random_device{}()), peer_client(io), pool(max_idle_per_upstream) {
    health.settings = upstream_health_settings();
    documents.at(static_cast<std::size_t>(document_kind::operator_config)).keeps_items = true;
}

policy::health_settings upstream_health_settings() {
    policy::health_settings settings;
    settings.consecutive_failures = 3;
    // An upstream must get requests soon after a restart; two more failures cost less than missing capacity.
    settings.ejection = core::milliseconds(600);
    settings.max_ejection = core::milliseconds(4000);
    settings.failure_share = 0.7;
    settings.probes = 1;
    settings.half_life = core::seconds(4);
    settings.probe_timeout = core::seconds(5);
    return settings;
}

bool asks_load_aggregators(const relay_state& node) {
    return node.peers->layout().cells > 1;
}

void record_upstream_event(relay_state& node, const std::string& upstream, policy::upstream_event event) {
    const auto now = boot_now();
    switch (event) {
    case policy::upstream_event::dispatched:
        policy::record_dispatch(node.health, upstream, now);
        break;
    case policy::upstream_event::succeeded:
    case policy::upstream_event::succeeded_late:
        if (policy::record_outcome(node.health, upstream, true, now)) {
            begin_upstream_pace(node, upstream, "recovered");
        }
        break;
    case policy::upstream_event::failed:
        policy::record_outcome(node.health, upstream, false, now);
        break;
    case policy::upstream_event::connection_refused:
        policy::record_refused_connection(node.health, upstream, now);
        break;
    case policy::upstream_event::full:
        node.full_until[upstream] = now + policy::load_table_settings{}.full_pause;
        break;
    }
    record_pace_event(node, upstream, event);
    if (asks_load_aggregators(node)) {
        node.aggregators->report(upstream, event);
    }
}

void record_upstream_speed(relay_state& node, const std::string& upstream,
                           const policy::speed_sample& sample) {
    policy::learn_speed(node.speeds, {}, upstream, sample, boot_now());
    if (asks_load_aggregators(node)) {
        node.aggregators->report(upstream, sample);
    }
}

double draw(relay_state& node) {
    return std::uniform_real_distribution<double>(0, 1)(node.random);
}

core::nanoseconds document_age(const relay_state& node, document_kind kind, core::steady_time now) {
    const auto& document = node.documents.at(static_cast<std::size_t>(kind));
    return document.current_at == core::steady_time::min() ? core::nanoseconds::max()
                                                           : now - document.current_at;
}

bool is_configured(const relay_state& node) {
    return node.routes != nullptr &&
           node.documents.at(static_cast<std::size_t>(document_kind::registry)).content.has_value();
}

bool is_ready(const relay_state& node) {
    return is_configured(node) && !node.stop;
}

void wake_next(relay_state& node, const std::string& service) {
    const auto next = policy::next_waiting(node.queue, {}, service, boot_now());
    if (!next) {
        return;
    }
    if (const auto found = node.waiting.find(*next); found != node.waiting.end()) {
        found->second->signal();
    }
}

void report_stalled_sends(relay_state& node, core::nanoseconds paused) {
    const auto now = boot_now();
    core::erase_where(node.probes, [&](const upstream_probe& result, const std::string&) {
        return !result.running && now - result.at > probe_lifetime;
    });
    std::vector<std::pair<std::function<void(const stall&)>, stall>> stalls;
    for (auto& [id, stream] : node.waiting_sends) {
        stream.since += std::chrono::duration_cast<core::steady_time::duration>(paused);
        const auto silence = core::to_ms(now - stream.since);
        if (silence <= stream.pauses.silent_upstream && silence <= stream.pauses.longest) {
            continue;
        }
        const auto use = total_use(node, stream.upstream);
        const bool silent_to_all = !use.silence || *use.silence > upstream_silence;
        // A probe decides only before the longest pause.
        const bool unreachable =
            silent_to_all && silence <= stream.pauses.longest && is_unreachable(node, stream.upstream);
        if (policy::is_stalled({silence, stream.pauses, unreachable, stream.link->has_unread_bytes()})) {
            stalls.emplace_back(stream.on_stall, stall{silence, silent_to_all});
        }
    }
    for (const auto& [on_stall, found] : stalls) {
        on_stall(found);
    }
}

void probe_for_crash(relay_state& node, const std::string& upstream) {
    if (!node.crash_watches.insert(upstream).second) {
        return;
    }
    boost::asio::spawn(
        node.context,
        [&node, upstream](const boost::asio::yield_context& yield) {
            watch_for_crash(node, upstream, yield);
        },
        boost::asio::detached);
}

// Peers hear of it at once where it may be what makes a request refused: until then they go on sending it.
// That an upstream has left the registry doesn't show a crash: several are removed at once by plan.
void confirm_upstream_crash(relay_state& node, const std::string& upstream, core::steady_time crashed_at) {
    if (node.registry.upstreams.count(upstream) == 0) {
        policy::discard_unconfirmed_crashes(node.crashes, upstream, boot_now());
        return;
    }
    const auto over_limit = policy::confirm_crash(node.crashes, {}, upstream, crashed_at);
    if (over_limit.empty()) {
        return;
    }
    node.log.state("crash_limit_reached", {{"upstream", upstream},
                                           {"count", over_limit.size()},
                                           {"fingerprints", first_fingerprints(over_limit)}});
    close_refused_sends(node);
    node.peers->announce();
}

bool begin_crash_trial(relay_state& node, const policy::request_fingerprints& fingerprints) {
    const auto now = boot_now();
    const auto rank = node.peers->rank();
    const auto due = policy::next_trial_time(node.crashes, {}, fingerprints);
    if (!due || rank >= trial_nodes || now < *due + trial_stagger * int(rank) ||
        now < node.next_crash_trial) {
        return false;
    }
    node.next_crash_trial = now + trial_interval;
    node.log.state("crash_trial",
                   {{"count", fingerprints.size()}, {"fingerprints", first_fingerprints(fingerprints)}});
    return true;
}

// Called for each message of a peer. A send is checked again only after a change, since the check of a long
// prompt takes time.
void close_refused_sends(relay_state& node) {
    const auto changes = node.crashes.changes;
    for (auto& [id, send] : node.unproven_sends) {
        if (send.closed || send.trial || std::exchange(send.checked_changes, changes) == changes) {
            continue;
        }
        if (policy::is_refused(node.crashes, {}, *send.fingerprints)) {
            send.closed = true;
            send.link->close();
        }
    }
}

core::milliseconds key_confirmation_limit(const core::relay_bounds& bounds) {
    return bounds.revocation - key_confirmation_margin;
}

} // namespace figspoke::relay
