#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace figspoke::policy {

/// What happened to the requests of one version and task kind. The counts only grow.
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

/// Counts of each source (node id and incarnation). A node changes its own source only.
struct version_evidence {
    std::map<std::string, std::map<evidence_key, outcome_counts>> sources;
};

/// Takes the larger of each count; the result doesn't depend on the order or number of merges.
void merge_evidence(version_evidence& into, const version_evidence& other);

/// Returns the sum over all sources.
std::map<evidence_key, outcome_counts> sum_evidence(const version_evidence& evidence);

} // namespace figspoke::policy
