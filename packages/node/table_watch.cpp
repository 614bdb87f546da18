#include "node/table_watch.h"

#include <algorithm>

#include "adapters/await.h"
#include "adapters/decision_log.h"
#include "node/cluster_loops.h"
#include "node/node_state.h"
#include "state/watcher_choice.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

// Each watch is followed by a read, since a watch for a version above one that the key-value service lost
// stays silent. The time is below the age up to which a table is fresh, so that relayed ages stay below it
// too.
constexpr std::chrono::milliseconds watch_time{2000};
constexpr std::chrono::milliseconds idle_period{200};
constexpr std::chrono::milliseconds failure_pause{300};
constexpr std::chrono::milliseconds read_when_older_than{2000};
// Bounds the log line of a return; `/admin/status` tells all.
constexpr std::size_t max_logged_changes = 20;

bool is_watcher(node_state& node) {
    const auto serving = serving_members(node.nodes, clock::now());
    const auto& members = *serving;
    std::vector<const state::member_entry*> pointers;
    pointers.reserve(members.size());
    for (const auto& member : members) {
        pointers.push_back(&member);
    }
    const auto watchers = state::choose_watchers(pointers);
    return std::find(watchers.begin(), watchers.end(), node.settings.node.id) != watchers.end();
}

bool needs_own_read(node_state& node) {
    const std::lock_guard lock(node.nodes.mutex);
    const auto age = state::table_age(node.nodes.freshness, clock::now());
    return node.nodes.read_wanted || !age || *age > read_when_older_than;
}

std::string describe_lost(const std::vector<core::table_change>& lost) {
    std::string text = std::to_string(lost.size()) + " changes are lost";
    for (std::size_t i = 0; i < std::min(lost.size(), max_logged_changes); ++i) {
        const auto& change = lost[i];
        text += (i == 0 ? ": " : "; ") + std::to_string(change.revision) + " " + change.action + " " +
                change.key.kind + " " + change.key.name + " by " + change.author + " (edit " +
                change.edit_id + ")";
    }
    return text + (lost.size() > max_logged_changes ? "; ..." : "");
}

void log_return(node_state& node, const table_return& gone_back) {
    node.metrics.add("figspoke_store_returns_total", {});
    adapters::log_warning("store_return",
                          "the key-value service came back from an older copy; table revision " +
                              std::to_string(gone_back.from_revision) + " is replaced by " +
                              std::to_string(gone_back.to_revision) + ", " + describe_lost(gone_back.lost));
}

// Tells the peers at once of a table that was put in force.
void announce(node_state& node, const core::result<table_update>& update) {
    if (!update) {
        adapters::log_warning("table_refused", update.error().message);
        return;
    }
    if (!update->applied) {
        return;
    }
    {
        const std::lock_guard lock(node.nodes.mutex);
        state::raise_revision(node.nodes.freshness, current_table(node.config).position);
    }
    if (update->gone_back) {
        log_return(node, *update->gone_back);
    }
    adapters::log_info("table_in_force", "revision " + std::to_string(current_revision(node.config)));
    gossip_now(node);
}

void note_read(node_state& node, core::steady_time asked_at) {
    const auto position = current_table(node.config).position;
    const std::lock_guard lock(node.nodes.mutex);
    state::record_table_read(node.nodes.freshness, position, asked_at);
}

enum class refresh_outcome { failed, not_read, read };

// Reads or watches once. An answer that is older than the table in force counts as not read.
refresh_outcome refresh_table(node_state& node, std::uint64_t& kv_version, bool watch,
                              const yield_context& yield) {
    const auto asked_at = clock::now();
    const auto known = known_position(node);
    {
        const std::lock_guard lock(node.nodes.mutex);
        node.nodes.read_wanted = false;
    }
    const auto answer =
        watch ? node.kv.watch(table_key, kv_version, watch_time, yield) : node.kv.get(table_key, yield);
    if (!answer) {
        return answer.error().kind == adapters::kv_error_kind::no_change ? refresh_outcome::not_read
                                                                         : refresh_outcome::failed;
    }
    kv_version = answer->version;
    if (!put_stored_table_in_force(node, known, answer->text)) {
        return refresh_outcome::not_read;
    }
    note_read(node, asked_at);
    return refresh_outcome::read;
}

} // namespace

std::uint64_t known_position(node_state& node) {
    const auto own = current_table(node.config).position;
    const std::lock_guard lock(node.nodes.mutex);
    return std::max(own, node.nodes.freshness.peer_revision);
}

void put_peer_table_in_force(node_state& node, std::uint64_t position, const std::string& encoded) {
    announce(node, apply_peer_table(node.config, position, encoded));
}

bool put_stored_table_in_force(node_state& node, std::uint64_t known, const std::string& encoded) {
    const auto update = apply_stored_table(node.config, known, encoded);
    announce(node, update);
    return !update || !update->outdated;
}

void table_loop(node_state& node, const yield_context& yield) {
    std::uint64_t kv_version = 0;
    bool read_next = true;
    for (;;) {
        const bool watcher = is_watcher(node);
        if (!watcher && !needs_own_read(node)) {
            adapters::sleep_for(idle_period, yield);
            continue;
        }
        const bool watch = watcher && !read_next;
        const auto outcome = refresh_table(node, kv_version, watch, yield);
        read_next = watch || outcome != refresh_outcome::read;
        if (outcome == refresh_outcome::failed) {
            adapters::sleep_for(failure_pause, yield);
        } else if (!watcher) {
            adapters::sleep_for(idle_period, yield);
        }
    }
}

} // namespace figspoke::node
