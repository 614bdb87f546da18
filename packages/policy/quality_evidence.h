#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

/// Identifies one pass rate: a task kind, a version, and the version whose answer was escalated before it
/// (empty for a direct answer). Prompts that are escalated are harder than the average prompt.
struct quality_key {
    std::string task;
    std::string version;
    std::string after;
};

bool operator<(const quality_key& a, const quality_key& b);

/// Decayed counts of answers. An answer is flagged when the answer check asked for escalation.
struct rating_counts {
    double accepted_passed = 0;
    double accepted_failed = 0;
    double flagged_passed = 0;
    double flagged_failed = 0;
    /// Answers that went through the answer check, rated or not, and those that it flagged.
    double checked = 0;
    double checked_flagged = 0;
};

/// Counts with a long memory for the estimate and with a short one that shows drift.
struct rating_cell {
    rating_counts slow;
    rating_counts fast;
};

/// What one incarnation of one node has counted, as it is published to other nodes.
struct quality_report {
    /// Node id and incarnation. A restarted node publishes under a new source, so old counts stay.
    std::string source;
    /// Increases with every report of the source; a report with a lower or equal one is ignored.
    std::uint64_t sequence = 0;
    /// Time since the counts were decayed, as known to the sender.
    core::nanoseconds age{0};
    std::map<quality_key, rating_cell> cells;
};

struct quality_evidence_settings {
    std::chrono::seconds slow_half_life{1800};
    std::chrono::seconds fast_half_life{300};
    /// A source that has been silent for this long is dropped. Its counts have decayed to 1/256 by then.
    std::chrono::seconds source_expiry{4 * 3600};
};

/// All sources' counts and their sum.
struct quality_evidence {
    /// Counts as decayed to a time.
    struct timed_cell {
        rating_cell cell;
        core::steady_time at;
    };
    struct source_counts {
        std::uint64_t sequence = 0;
        /// Time of the newest counts.
        core::steady_time at;
        std::map<quality_key, timed_cell> cells;
    };
    quality_evidence_settings settings;
    std::map<std::string, source_counts> sources;
    std::map<quality_key, timed_cell> totals;
};

/// One rated answer.
struct rating {
    quality_key key;
    bool flagged = false;
    bool passed = false;
};

/// The key under which the rated answers of all versions to one task kind are counted together.
quality_key check_key(const std::string& task);

/// Adds a rated answer to the node's own counts (`source`), and to those of `check_key`.
void record_rating(quality_evidence& evidence, const std::string& source, const rating& value,
                   core::steady_time now);

/// Adds an answer to the node's own counts as soon as the answer check has seen it.
void record_check(quality_evidence& evidence, const std::string& source, const quality_key& key, bool flagged,
                  core::steady_time now);

/// Replaces a source's counts by a newer report; returns false where the report is not newer. The result
/// doesn't depend on the order or the number of times in which reports arrive.
bool merge_report(quality_evidence& evidence, const quality_report& report, core::steady_time now);

/// Returns the report of a source as it is to be published or relayed; empty cells where it is unknown.
quality_report make_report(const quality_evidence& evidence, const std::string& source,
                           core::steady_time now);

/// Returns the sum over all sources, decayed to `now`.
rating_cell summed_counts(const quality_evidence& evidence, const quality_key& key, core::steady_time now);

/// Drops sources that have been silent for longer than `source_expiry`.
void expire_sources(quality_evidence& evidence, core::steady_time now);

} // namespace figspoke::policy
