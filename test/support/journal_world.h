#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "state/charge_copies.h"
#include "state/journal_writer.h"
#include "state/unsettled.h"

namespace figspoke::test {

/// One call of a node to the key-value service, which may be delivered late, twice or without a reply.
struct world_call {
    std::size_t node = 0;
    std::string incarnation;
    state::writer_action action;
    bool delivered = false;
    bool written = false;
    std::string text;
    std::uint64_t version = 0;
    /// Whether the node has been told the end of the call.
    bool ended = false;
};

enum class request_state { claiming, reporting, done };

/// One caller's order request at one node.
struct world_request {
    state::order_claim claim;
    std::size_t node = 0;
    request_state state = request_state::claiming;
    bool dispatched = false;
    state::order_state ended = state::order_state::completed;
};

/// An entry that was given to one node's writer.
struct world_submission {
    std::size_t node = 0;
    state::journal_entry entry;
    /// The request of an order entry, or the node that holds the charge.
    std::size_t source = 0;
};

struct world_node {
    std::string incarnation;
    int restarts = 0;
    bool paused = false;
    state::journal_writer writer;
    state::unsettled_charges unsettled;
    state::charge_copies copies;
};

struct world_cell {
    std::string text;
    std::uint64_t version = 0;
};

/// Nodes that share one journal shard in an in-memory key-value service, driven by a generated schedule.
struct world {
    core::steady_time now;
    std::vector<world_node> nodes;
    std::map<std::string, world_cell> cells;
    std::vector<world_call> calls;
    std::vector<world_request> requests;
    std::map<std::uint64_t, world_submission> submissions;
    std::uint64_t next_ticket = 1;
    std::set<std::string> ended_incarnations;
    bool lose_next_answer = false;
    /// How often each order ran at the upstream, and the charges that a writer was told are recorded.
    std::map<std::string, int> runs;
    std::map<std::pair<std::string, std::uint64_t>, state::charge> acknowledged;
    /// The incarnation whose write brought each entry into the value.
    std::map<std::string, std::string> recorded_by;
    /// Violations by the name of the guarantee.
    std::multimap<std::string, std::string> violations;
};

/// Builds a world of idle nodes with small limits, so that short schedules reach every bound.
world make_world(std::size_t nodes);

/// Runs one step that the number selects.
void run_step(world& simulated, std::uint32_t step);

/// Lets every node act, send what it holds and hear from the service once, with node 0 as the owner.
void run_without_faults(world& simulated);

/// Ends all faults, and runs until nothing waits. Returns whether that was reached.
bool settle_world(world& simulated);

/// Compares the ledger with what was acknowledged and adds violations.
void check_ledger(world& simulated);

/// Returns the shard's value, empty where it was never written.
state::journal_shard read_shard(const world& simulated);

/// Returns the key of a ledger page in `cells`.
std::string page_key(std::uint64_t page);

/// Names an entry by its request, or by its writer and sequence.
std::string entry_name(const state::journal_entry& entry);

} // namespace figspoke::test
