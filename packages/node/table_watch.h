#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/spawn.hpp>

namespace figspoke::node {

struct node_state;

/// The key of the configuration table in the key-value service.
inline constexpr const char* table_key = "figspoke/table";

/// Returns the highest packed position of the table that this node knows, its own or one that a peer told of.
/// Taken before a call of the key-value service, it tells whether the answer is from an older copy.
std::uint64_t known_position(node_state& node);

/// Puts a peer's table in force where its packed position is higher, and tells the peers at once. A malformed
/// table is logged and leaves the current one in force.
void put_peer_table_in_force(node_state& node, std::uint64_t position, const std::string& encoded);

/// Puts in force what the key-value service holds; `known` is what `known_position` returned before the call.
/// A service that came back from an older copy is followed, logged and counted. Returns false where the table
/// is older than the one in force, and the service has to be read again.
bool put_stored_table_in_force(node_state& node, std::uint64_t known, const std::string& encoded);

/// Keeps the table current: a watcher reads and watches the key-value service, other nodes learn of changes
/// from their peers and read the service only while their table is not fresh. Never returns.
void table_loop(node_state& node, const boost::asio::yield_context& yield);

} // namespace figspoke::node
