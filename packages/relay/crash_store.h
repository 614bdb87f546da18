#pragma once

#include <set>
#include <vector>

#include "policy/crash_ledger.h"
#include "relay/relay_state.h"

namespace figspoke::relay {

/// Returns the crashes of the fingerprints that are the likely causes of crashes. At most
/// `max_stored_fingerprints`, those with the most crashes.
std::vector<crash_record> refused_crash_records(const policy::crash_ledger& ledger, core::steady_time now);

/// Returns the fingerprints of records.
std::set<std::uint64_t> fingerprints_of(const std::vector<crash_record>& records);

/// Reads the crashes of refused requests from the store once, and writes them there when they change, so that
/// a fleet that has lost all its processes goes on refusing. Returns when the node stops.
void run_crash_store_loop(relay_state& node, const boost::asio::yield_context& yield);

inline constexpr std::size_t max_stored_fingerprints = 64;

} // namespace figspoke::relay
