#pragma once

#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "policy/crash_suspects.h"
#include "policy/exploration_budget.h"
#include "policy/quality_evidence.h"
#include "policy/retry_budget.h"
#include "policy/sequential_test.h"
#include "policy/version_evidence.h"
#include "policy/work_estimate.h"

namespace figspoke::node {

/// An answer that was sent to the rating service.
struct pending_rating {
    policy::quality_key key;
    bool flagged = false;
};

/// What this node has seen of versions and requests, merged with what its peers have seen.
struct evidence_table {
    std::mutex mutex;
    policy::quality_evidence quality;
    policy::version_evidence versions;
    policy::sequential_test_state sequential;
    policy::crash_suspects suspects;
    policy::generation_ratios generated;
    policy::exploration_budget exploration;
    policy::retry_budget retries;
    policy::retry_settings retry_limits;
    /// Set by a change of this node's own counts.
    bool changed = false;
    /// Sources of which the peers should hear.
    std::set<std::string> to_send;
    /// Task kinds that callers have named.
    std::set<std::string> tasks;
    /// By request id.
    std::unordered_map<std::string, pending_rating> pending_ratings;
};

/// Records that an upstream's connection broke while these requests of this node ran there.
void record_upstream_crash(evidence_table& evidence, const std::string& source, const std::string& upstream,
                           const std::vector<policy::in_flight_request>& running, core::steady_time now);

/// Returns the highest number of a known crash of the upstream, or 0.
std::uint64_t crashes_seen(evidence_table& evidence, const std::string& upstream);

/// Records that a suspect finished alone.
void record_passed_alone(evidence_table& evidence, const std::string& source, const std::string& fingerprint,
                         core::steady_time now);

/// Counts an answer or a failure of a version; `flagged` tells what the answer check said.
void record_version_outcome(evidence_table& evidence, const std::string& source,
                            const policy::evidence_key& key, bool answered, bool flagged);

/// The number of task kinds that are told apart; each takes a cell of evidence for each version.
inline constexpr std::size_t max_task_kinds = 32;

/// Returns the caller's task kind, or `general` where too many others are known already.
std::string known_task(evidence_table& evidence, const std::string& task);

/// Tells how a request may run.
policy::run_mode run_mode_of(evidence_table& evidence, const std::string& fingerprint, core::steady_time now);

} // namespace figspoke::node
