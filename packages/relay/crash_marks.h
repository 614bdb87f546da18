#pragma once

#include <vector>

#include "policy/crash_ledger.h"
#include "relay/beat.h"

namespace figspoke::relay {

/// Returns what peers should know of crashes: those of the last `recent`, those of fingerprints with several,
/// and fingerprints that a success has cleared lately. Bounded in number.
std::vector<crash_mark> crash_marks(const policy::crash_ledger& ledger, core::milliseconds recent,
                                    core::steady_time now);

/// Takes over the marks of a peer.
void take_crash_marks(policy::crash_ledger& ledger, const std::vector<crash_mark>& marks,
                      core::steady_time now);

} // namespace figspoke::relay
