#pragma once

#include <map>
#include <string>
#include <vector>

#include "policy/crash_ledger.h"
#include "relay/heartbeat_message.h"

namespace figspoke::relay {

/// Returns the crash records for peers: those of fingerprints that crashed within the last `recent` or have
/// so many crashes that they may be refused, and fingerprints that a success has cleared within `recent`.
/// Their number is bounded; the fingerprints with the most crashes go first, and lists that are too long are
/// told in turn.
std::vector<crash_record> crash_records(const policy::crash_ledger& ledger, core::milliseconds recent,
                                        core::steady_time now);

/// Adds a peer's crash records to the ledger. Returns the upstreams of crashes that it didn't hold yet, with
/// the time of the latest.
std::map<std::string, core::steady_time> merge_crash_records(policy::crash_ledger& ledger,
                                                             const std::vector<crash_record>& records,
                                                             core::steady_time now);

} // namespace figspoke::relay
