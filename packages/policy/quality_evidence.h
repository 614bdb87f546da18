#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

/// Identifies one pass rate by task kind, version and the version that the request was escalated from (empty
/// for a direct answer). Escalated prompts are counted apart because they are harder than the average prompt.
struct quality_key {
    std::string task;
    std::string version;
    std::string escalated_from;
};

bool operator<(const quality_key& a, const quality_key& b);

/// Exponentially decayed counts of answers. An answer is flagged where the answer check asked for escalation,
/// and accepted otherwise.
struct rating_counts {
    double accepted_passed = 0;
    double accepted_failed = 0;
    double flagged_passed = 0;
    double flagged_failed = 0;
    /// Answers that the answer check has seen, rated or not, and those that it flagged.
    double checked = 0;
    double checked_flagged = 0;
};

/// Counts with a long half-life, for the estimate, and with a short one, to detect drift.
struct rating_cell {
    rating_counts slow;
    rating_counts fast;
};

/// Counts of one incarnation of one node, as published to other nodes.
struct quality_report {
    /// Node id and incarnation. A restarted node publishes under a new source, so its old counts are kept.
    std::string source;
    /// Increases with every change of the source's counts. A report with a lower or equal number is ignored.
    std::uint64_t sequence = 0;
    /// Time since the instant to which the counts are decayed, as known to the sender.
    core::nanoseconds age{0};
    std::map<quality_key, rating_cell> cells;
};

struct quality_evidence_settings {
    std::chrono::seconds slow_half_life{1800};
    std::chrono::seconds fast_half_life{300};
    /// A source without an update for this long is dropped. Its slow counts have decayed to 1/256 by then.
    std::chrono::seconds source_expiry{4 * 3600};
};

/// Counts of all sources and their totals.
struct quality_evidence {
    /// Counts, decayed to the time `at`.
    struct timed_cell {
        rating_cell cell;
        core::steady_time at;
    };
    struct source_counts {
        std::uint64_t sequence = 0;
        /// Time of the latest update.
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

/// Returns the key under which rated answers to one task kind are counted for all versions together.
quality_key check_key(const std::string& task);

/// Adds a rated answer to this node's counts (`source`), under its own key and under `check_key`.
void record_rating(quality_evidence& evidence, const std::string& source, const rating& value,
                   core::steady_time now);

/// Adds the result of an answer check to this node's counts (`source`), whether or not the answer gets rated.
void record_check(quality_evidence& evidence, const std::string& source, const quality_key& key, bool flagged,
                  core::steady_time now);

/// Replaces a source's counts by a newer report; returns false where the report is not newer or has expired.
/// The result doesn't depend on the order in which reports arrive, nor on duplicates.
bool merge_report(quality_evidence& evidence, const quality_report& report, core::steady_time now);

/// Returns the report of a source, to be published or relayed; it has no cells where the source is unknown.
quality_report make_report(const quality_evidence& evidence, const std::string& source,
                           core::steady_time now);

/// Returns the sum over all sources, decayed to `now`.
rating_cell summed_counts(const quality_evidence& evidence, const quality_key& key, core::steady_time now);

/// Drops sources that have had no update for `source_expiry`.
void expire_sources(quality_evidence& evidence, core::steady_time now);

} // namespace figspoke::policy
