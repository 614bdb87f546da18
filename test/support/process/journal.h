#pragma once

#include <map>
#include <string>
#include <vector>

#include "state/charge.h"
#include "state/journal_shard.h"
#include "support/process/fleet.h"

namespace figspoke::test {

/// Reads all journal shards of the key-value service, by number.
std::map<int, state::journal_shard> read_shards(const fleet& nodes);

/// Returns every recorded charge: those open in the shards and those of sealed ledger pages.
std::vector<state::charge> read_charges(const fleet& nodes);

/// Returns the charges by request id. Throws where one request has two.
std::map<std::string, state::charge> charges_by_request(const fleet& nodes);

/// Returns a node's `/admin/status`.
nlohmann::json status_of(const fleet& nodes, int index);

/// Waits until every node knows all members and the key-value service lists them. Copies of charges,
/// majorities and accepted edits depend on that.
bool wait_for_members(const fleet& nodes);

/// Returns whether none of the given nodes holds a charge or a copy of one that is not recorded.
bool is_settled(const fleet& nodes, const std::vector<int>& indices);

} // namespace figspoke::test
