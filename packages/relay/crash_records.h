#pragma once

#include <vector>

#include "policy/crash_ledger.h"
#include "relay/heartbeat_message.h"

namespace figspoke::relay {

/// Returns the crash records for peers: crashes within the last `recent`, crashes of fingerprints with more
/// than one, and fingerprints that a success has cleared within `recent`. Their number is bounded.
std::vector<crash_record> crash_records(const policy::crash_ledger& ledger, core::milliseconds recent,
                                        core::steady_time now);

/// Adds a peer's crash records to the ledger.
void merge_crash_records(policy::crash_ledger& ledger, const std::vector<crash_record>& records,
                         core::steady_time now);

} // namespace figspoke::relay
