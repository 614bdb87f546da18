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

// A watch that returns unchanged shows that the table was current when it was asked. The time is well below
// the age up to which a table is fresh, so that relayed ages stay below it too.
constexpr std::chrono::milliseconds watch_time{1000};
constexpr std::chrono::milliseconds idle_period{200};
constexpr std::chrono::milliseconds failure_pause{300};
constexpr std::chrono::milliseconds read_when_older_than{2000};

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
    return !age || *age > read_when_older_than;
}

void note_read(node_state& node, std::uint64_t revision, core::steady_time asked_at) {
    const std::lock_guard lock(node.nodes.mutex);
    state::record_table_read(node.nodes.freshness, revision, asked_at);
}

// Reads or watches once; returns whether the key-value service answered.
bool refresh_table(node_state& node, std::uint64_t& kv_version, bool watch, const yield_context& yield) {
    const auto asked_at = clock::now();
    const auto answer = watch && kv_version > 0 ? node.kv.watch(table_key, kv_version, watch_time, yield)
                                                : node.kv.get(table_key, yield);
    if (answer) {
        kv_version = answer->version;
        put_table_in_force(node, answer->text);
        note_read(node, current_revision(node.config), asked_at);
        return true;
    }
    if (answer.error().kind == adapters::kv_error_kind::no_change) {
        note_read(node, current_revision(node.config), asked_at);
        return true;
    }
    return false;
}

} // namespace

void put_table_in_force(node_state& node, const std::string& encoded) {
    const auto applied = apply_table(node.config, encoded);
    if (!applied) {
        adapters::log_warning("table_refused", applied.error().message);
        return;
    }
    if (!*applied) {
        return;
    }
    const auto revision = current_revision(node.config);
    {
        const std::lock_guard lock(node.nodes.mutex);
        state::raise_revision(node.nodes.freshness, revision);
    }
    adapters::log_info("table_in_force", "revision " + std::to_string(revision));
    gossip_now(node);
}

void table_loop(node_state& node, const yield_context& yield) {
    std::uint64_t kv_version = 0;
    for (;;) {
        const bool watch = is_watcher(node);
        if (!watch && !needs_own_read(node)) {
            adapters::sleep_for(idle_period, yield);
            continue;
        }
        const bool answered = refresh_table(node, kv_version, watch, yield);
        adapters::sleep_for(answered ? (watch ? std::chrono::milliseconds(0) : idle_period) : failure_pause,
                            yield);
    }
}

} // namespace figspoke::node
