#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace figspoke::policy {

/// Outcomes of the requests of one version and task kind. The counts never decrease.
struct outcome_counts {
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    /// Answers that the answer check flagged; at most `answered`.
    std::uint64_t flagged = 0;
    std::uint64_t rated_passed = 0;
    std::uint64_t rated_failed = 0;
};

/// Version id and task kind.
using evidence_key = std::pair<std::string, std::string>;

/// Counts by source (node id and incarnation). A node changes only its own source.
struct version_evidence {
    std::map<std::string, std::map<evidence_key, outcome_counts>> sources;
};

/// Sets each count to the larger of both, so that the result doesn't depend on the order or number of merges.
void merge_evidence(version_evidence& target, const version_evidence& other);

/// Returns the sum over all sources.
std::map<evidence_key, outcome_counts> sum_evidence(const version_evidence& evidence);

} // namespace figspoke::policy
