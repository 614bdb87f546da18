#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/time.h"
#include "policy/version_counts.h"

namespace figspoke::policy {

/// What one process saw of a roll-out since it learnt of the order. The counts only grow, so that reports may
/// be lost, repeated and passed on by others.
struct trial_report {
    std::string node;
    /// Tells apart two processes of one node; the counts of both stand.
    std::uint64_t incarnation = 0;
    /// Higher in each later report of the process.
    std::uint64_t sequence = 0;
    version_counts target;
    /// All other versions together.
    version_counts old;
    /// Requests that run on other versions now.
    int running_on_old = 0;
};

/// A report as one node holds it.
struct held_report {
    trial_report report;
    /// When the process made it, at the latest, on this node's clock.
    core::steady_time made_at{};
};

/// The newest report of each process, by node and incarnation.
struct trial_evidence {
    std::map<std::pair<std::string, std::uint64_t>, held_report> reports;
};

/// Takes a report that was made `age` ago. Returns whether it is newer than the known one.
bool merge_report(trial_evidence& evidence, const trial_report& report, core::milliseconds age,
                  core::steady_time now);

/// What all processes saw together.
struct trial_totals {
    version_counts target;
    version_counts old;
    int running_on_old = 0;
};

/// Sums the reports. Requests of a process that is silent for longer than `lifetime` ended with it.
trial_totals total_of(const trial_evidence& evidence, core::milliseconds lifetime, core::steady_time now);

} // namespace figspoke::policy
