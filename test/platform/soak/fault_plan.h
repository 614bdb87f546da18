#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace figspoke::soak {

/// What a fault does, from outside the process that it hits.
enum class fault_kind {
    kill_node,
    pause_node,
    stop_node,
    reload_node,
    /// The link of one node to the store.
    delay_store_link,
    silence_store_link,
    cut_store_answers,
    reset_store_link,
    /// The store for all nodes.
    store_away,
    lose_store_answers,
    delay_engine_link,
    silence_engine_link,
    cut_engine_answers,
    reset_engine_link,
    crash_engine,
    drain_engine,
    add_key,
    revoke_key,
    /// A configuration whose list of tenants is empty, for a time.
    withdraw_tenants,
    /// Entries of another writer among those of the engines, for a time.
    odd_entries,
    /// The store is away for a moment and comes back from an older copy.
    store_return,
    /// The store turns some nodes away and serves the others.
    store_turns_away
};

struct planned_fault {
    core::milliseconds at{0};
    fault_kind kind = fault_kind::kill_node;
    /// Index of the node or engine, modulo their number.
    std::size_t target = 0;
    core::milliseconds duration{0};
};

struct plan_settings {
    unsigned seed = 1;
    core::milliseconds length{20000};
    /// Mean time between two series of faults.
    core::milliseconds gap{700};
    /// Only planned work: stops, reloads, draining engines and changed keys.
    bool planned_only = false;
    /// Adds returns of the store from older copies, and spans in which it turns some nodes away.
    bool returns = false;
};

/// Returns faults in the order of their times. They come in series of one kind and overlap. The same seed
/// gives the same plan.
std::vector<planned_fault> make_plan(const plan_settings& settings);

/// Whether a fault is planned work that callers must not notice.
bool is_planned_work(fault_kind kind);

std::string_view to_string(fault_kind kind);

} // namespace figspoke::soak
