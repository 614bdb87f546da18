#pragma once

#include <set>
#include <string>
#include <string_view>

#include "node/evidence_table.h"

namespace figspoke::node {

/// Encodes what is known of the given sources (node incarnations) as CBOR, for the peers. Needs the
/// evidence's lock.
std::string encode_evidence(const evidence_table& evidence, const std::set<std::string>& sources,
                            core::steady_time now);

/// Merges what a peer sent and returns the sources of which something was new. Needs the evidence's lock.
/// Malformed parts are left out.
std::set<std::string> merge_evidence(evidence_table& evidence, std::string_view encoded,
                                     core::steady_time now);

} // namespace figspoke::node
