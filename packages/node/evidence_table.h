#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "core/time.h"
#include "policy/crash_suspects.h"
#include "policy/quality_evidence.h"
#include "policy/retry_budget.h"
#include "policy/sequential_test.h"
#include "policy/version_evidence.h"

namespace figspoke::node {

/// What this node has seen of versions and requests, merged with what its peers have seen.
struct evidence_table {
    std::mutex mutex;
    policy::quality_evidence quality;
    policy::version_evidence versions;
    policy::sequential_state sequential;
    policy::crash_suspects suspects;
    policy::retry_budget retries;
    policy::retry_settings retry_limits;
    /// Set by a change that peers should hear of.
    bool changed = false;
};

/// Records that an upstream's connection broke while these requests of this node ran there.
void record_upstream_crash(evidence_table& evidence, const std::string& source, const std::string& upstream,
                           const std::vector<policy::exposed_request>& running, core::steady_time now);

/// Records that a suspect finished alone.
void record_passed_alone(evidence_table& evidence, const std::string& source, const std::string& fingerprint,
                         core::steady_time now);

/// Counts an answer or a failure of a version; `flagged` tells what the answer check said.
void record_version_outcome(evidence_table& evidence, const std::string& source,
                            const policy::evidence_key& key, bool answered, bool flagged);

/// Tells how a request may run.
policy::run_mode run_mode_of(evidence_table& evidence, const std::string& fingerprint, core::steady_time now);

} // namespace figspoke::node
