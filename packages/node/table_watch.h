#pragma once

#include <string>

#include <boost/asio/spawn.hpp>

namespace figspoke::node {

struct node_state;

/// The key of the configuration table in the key-value service.
inline constexpr const char* table_key = "figspoke/table";

/// Puts an encoded table in force where its revision is higher, and tells the peers at once. A malformed
/// table is logged and leaves the current one in force.
void put_table_in_force(node_state& node, const std::string& encoded);

/// Keeps the table current: a watcher reads and watches the key-value service, other nodes learn of changes
/// from their peers and read the service only while their table is not fresh. Never returns.
void table_loop(node_state& node, const boost::asio::yield_context& yield);

} // namespace figspoke::node
