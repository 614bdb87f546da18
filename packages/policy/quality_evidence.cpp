#include "policy/quality_evidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace figspoke::policy {
namespace {

rating_counts scaled(const rating_counts& counts, double factor) {
    return {counts.accepted_passed * factor, counts.accepted_failed * factor,
            counts.flagged_passed * factor,  counts.flagged_failed * factor,
            counts.checked * factor,         counts.checked_flagged * factor};
}

// Subtraction may leave a rounding error below zero, which is no valid parameter of a Beta posterior.
rating_counts sum(const rating_counts& a, const rating_counts& b, double sign) {
    return {std::max(0.0, a.accepted_passed + sign * b.accepted_passed),
            std::max(0.0, a.accepted_failed + sign * b.accepted_failed),
            std::max(0.0, a.flagged_passed + sign * b.flagged_passed),
            std::max(0.0, a.flagged_failed + sign * b.flagged_failed),
            std::max(0.0, a.checked + sign * b.checked),
            std::max(0.0, a.checked_flagged + sign * b.checked_flagged)};
}

double decay(core::nanoseconds elapsed, core::nanoseconds half_life) {
    return std::exp2(-core::to_seconds(std::max(elapsed, core::nanoseconds(0))) /
                     core::to_seconds(half_life));
}

rating_cell decayed(const rating_cell& cell, core::nanoseconds elapsed,
                    const quality_evidence_settings& settings) {
    return {scaled(cell.slow, decay(elapsed, settings.slow_half_life)),
            scaled(cell.fast, decay(elapsed, settings.fast_half_life))};
}

void add(quality_evidence::timed_cell& target, const rating_cell& cell, double sign, core::steady_time now,
         const quality_evidence_settings& settings) {
    const auto current = decayed(target.cell, now - target.at, settings);
    target = {{sum(current.slow, cell.slow, sign), sum(current.fast, cell.fast, sign)}, now};
}

void remove_from_totals(quality_evidence& evidence, const quality_evidence::source_counts& source,
                        core::steady_time now) {
    for (const auto& [key, timed] : source.cells) {
        const auto cell = decayed(timed.cell, now - timed.at, evidence.settings);
        add(evidence.totals[key], cell, -1, now, evidence.settings);
    }
}

// Erases the totals of keys that no source has. Rounding leaves them just above zero.
void remove_unused_totals(quality_evidence& evidence) {
    for (auto it = evidence.totals.begin(); it != evidence.totals.end();) {
        const bool used =
            std::any_of(evidence.sources.begin(), evidence.sources.end(),
                        [&](const auto& source) { return source.second.cells.count(it->first) > 0; });
        it = used ? std::next(it) : evidence.totals.erase(it);
    }
}

rating_counts counts_of(const rating& value) {
    rating_counts counts;
    auto& passed = value.flagged ? counts.flagged_passed : counts.accepted_passed;
    auto& failed = value.flagged ? counts.flagged_failed : counts.accepted_failed;
    (value.passed ? passed : failed) = 1;
    return counts;
}

void add_local(quality_evidence& evidence, const std::string& source, const quality_key& key,
               const rating_counts& counts, core::steady_time now) {
    auto& local = evidence.sources[source];
    local.at = now;
    ++local.sequence;
    add(local.cells[key], {counts, counts}, 1, now, evidence.settings);
    add(evidence.totals[key], {counts, counts}, 1, now, evidence.settings);
}

} // namespace

bool operator<(const quality_key& a, const quality_key& b) {
    return std::tie(a.task, a.version, a.escalated_from) < std::tie(b.task, b.version, b.escalated_from);
}

quality_key check_key(const std::string& task) {
    return {task, "", ""};
}

void record_rating(quality_evidence& evidence, const std::string& source, const rating& value,
                   core::steady_time now) {
    const auto counts = counts_of(value);
    add_local(evidence, source, value.key, counts, now);
    add_local(evidence, source, check_key(value.key.task), counts, now);
}

void record_check(quality_evidence& evidence, const std::string& source, const quality_key& key, bool flagged,
                  core::steady_time now) {
    rating_counts counts;
    counts.checked = 1;
    counts.checked_flagged = flagged ? 1 : 0;
    add_local(evidence, source, key, counts, now);
}

bool merge_report(quality_evidence& evidence, const quality_report& report, core::steady_time now) {
    // A late duplicate must not restore an expired source.
    if (report.age >= evidence.settings.source_expiry) {
        return false;
    }
    const auto found = evidence.sources.find(report.source);
    if (found != evidence.sources.end()) {
        if (report.sequence <= found->second.sequence) {
            return false;
        }
        remove_from_totals(evidence, found->second, now);
    }
    const auto at = now - report.age;
    auto& source = evidence.sources[report.source];
    source = {report.sequence, at, {}};
    for (const auto& [key, cell] : report.cells) {
        source.cells[key] = {cell, at};
        add(evidence.totals[key], decayed(cell, report.age, evidence.settings), 1, now, evidence.settings);
    }
    return true;
}

quality_report make_report(const quality_evidence& evidence, const std::string& source,
                           core::steady_time now) {
    quality_report report;
    report.source = source;
    const auto found = evidence.sources.find(source);
    if (found == evidence.sources.end()) {
        return report;
    }
    report.sequence = found->second.sequence;
    report.age = now - found->second.at;
    for (const auto& [key, timed] : found->second.cells) {
        report.cells[key] = decayed(timed.cell, found->second.at - timed.at, evidence.settings);
    }
    return report;
}

rating_cell summed_counts(const quality_evidence& evidence, const quality_key& key, core::steady_time now) {
    const auto found = evidence.totals.find(key);
    if (found == evidence.totals.end()) {
        return {};
    }
    return decayed(found->second.cell, now - found->second.at, evidence.settings);
}

void expire_sources(quality_evidence& evidence, core::steady_time now) {
    const auto before = evidence.sources.size();
    for (auto it = evidence.sources.begin(); it != evidence.sources.end();) {
        if (now - it->second.at < evidence.settings.source_expiry) {
            ++it;
            continue;
        }
        remove_from_totals(evidence, it->second, now);
        it = evidence.sources.erase(it);
    }
    if (evidence.sources.size() < before) {
        remove_unused_totals(evidence);
    }
}

} // namespace figspoke::policy
