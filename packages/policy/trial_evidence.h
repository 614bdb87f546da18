#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/time.h"
#include "policy/version_counts.h"

namespace figspoke::policy {

/// What one process has counted of a roll-out since it received the order. The counts only grow, so that
/// reports may be lost, duplicated and forwarded by other nodes.
struct trial_report {
    std::string node;
    /// Identifies the process of the node; the counts of an earlier process of the node are kept.
    std::uint64_t incarnation = 0;
    /// Rises with each report of the process.
    std::uint64_t sequence = 0;
    version_counts target;
    /// Sum over all other versions.
    version_counts old;
    /// Number of requests that run on other versions now.
    int running_on_old = 0;
};

/// A report and its age.
struct received_report {
    trial_report report;
    /// Latest time, on this node's clock, at which the process can have made the report.
    core::steady_time created_at{};
};

/// The newest report of each process, by node and incarnation.
struct trial_evidence {
    std::map<std::pair<std::string, std::uint64_t>, received_report> reports;
};

/// Stores a report that was made `age` ago, unless a newer one of the process is stored. Returns whether it
/// was stored.
bool merge_report(trial_evidence& evidence, const trial_report& report, core::milliseconds age,
                  core::steady_time now);

/// Sums over the reports of all processes.
struct trial_totals {
    version_counts target;
    version_counts old;
    int running_on_old = 0;
};

/// Sums the reports. Running requests of a process whose report is older than `lifetime` are not counted,
/// since they ended with the process.
trial_totals sum_reports(const trial_evidence& evidence, core::milliseconds lifetime, core::steady_time now);

} // namespace figspoke::policy
