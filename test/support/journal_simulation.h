#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "state/charge_copies.h"
#include "state/journal_writer.h"
#include "state/unsettled_charges.h"

namespace figspoke::test {

/// One call of a node to the key-value service. It may be delivered late or twice, or its reply may be lost.
struct simulated_call {
    std::size_t node = 0;
    std::string incarnation;
    state::writer_action action;
    bool delivered = false;
    /// Whether the last delivery of a write took effect.
    bool written = false;
    /// The stored text and its version after the last delivery.
    std::string text;
    std::uint64_t version = 0;
    /// Whether the end of the call was reported to the node.
    bool reported = false;
};

enum class request_state { claiming, reporting, done };

/// One caller's request to run an order, received by one node.
struct simulated_request {
    state::order_claim claim;
    std::size_t node = 0;
    request_state state = request_state::claiming;
    bool dispatched = false;
    state::order_state final_state = state::order_state::completed;
};

/// An entry that was submitted to one node's writer.
struct submitted_entry {
    std::size_t node = 0;
    state::journal_entry entry;
    /// Index of the request of an order entry, or of the node that sent the charge.
    std::size_t source = 0;
};

struct simulated_node {
    std::string incarnation;
    int restarts = 0;
    bool paused = false;
    state::journal_writer writer;
    state::unsettled_charges unsettled;
    state::charge_copies copies;
};

struct stored_value {
    std::string text;
    std::uint64_t version = 0;
};

/// Simulation of nodes that share one journal shard in an in-memory key-value service, driven by a generated
/// schedule.
struct journal_simulation {
    core::steady_time now;
    std::vector<simulated_node> nodes;
    /// Contents of the key-value service.
    std::map<std::string, stored_value> stored;
    std::vector<simulated_call> calls;
    std::vector<simulated_request> requests;
    std::map<std::uint64_t, submitted_entry> submissions;
    std::uint64_t next_ticket = 1;
    std::set<std::string> ended_incarnations;
    /// Whether the outcome of the next settled entry is lost on its way to the node that submitted the entry.
    bool drop_next_outcome = false;
    /// Number of times each order ran at the upstream.
    std::map<std::string, int> runs;
    /// Charges that were reported as recorded, keyed by writer and sequence number.
    std::map<std::pair<std::string, std::uint64_t>, state::charge> acknowledged;
    /// The incarnation whose write added each entry to the value, keyed by `entry_name`.
    std::map<std::string, std::string> recorded_by;
    /// Violations, keyed by the name of the guarantee.
    std::multimap<std::string, std::string> violations;
};

/// Builds a simulation of idle nodes with small limits, so that short schedules reach every limit.
journal_simulation make_journal_simulation(std::size_t nodes);

/// Runs the step that is encoded in the number.
void run_step(journal_simulation& sim, std::uint32_t step);

/// Runs one round without faults, with node 0 as the owner: every node sends its entries, calls the service
/// and receives the replies.
void run_without_faults(journal_simulation& sim);

/// Ends all faults and runs until every charge and request is settled. Returns false if that takes too many
/// rounds.
bool run_until_settled(journal_simulation& sim);

/// Compares the ledger with the acknowledged charges and the totals, and adds violations.
void check_ledger(journal_simulation& sim);

/// Returns the shard's value, or an empty shard if it was never written.
state::journal_shard read_shard(const journal_simulation& sim);

/// Returns the key of a ledger page in `stored`.
std::string page_key(std::uint64_t page);

/// Returns a name that identifies an entry: its request, or its writer and sequence number.
std::string entry_name(const state::journal_entry& entry);

} // namespace figspoke::test
