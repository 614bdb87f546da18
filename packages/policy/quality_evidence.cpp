#include "policy/quality_evidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace figspoke::policy {
namespace {

rating_counts scaled(const rating_counts& counts, double factor) {
    return {counts.accepted_passed * factor, counts.accepted_failed * factor, counts.flagged_passed * factor,
            counts.flagged_failed * factor};
}

// Subtraction may leave a rounding error below zero, which a Beta posterior can't take.
rating_counts sum(const rating_counts& a, const rating_counts& b, double sign) {
    return {std::max(0.0, a.accepted_passed + sign * b.accepted_passed),
            std::max(0.0, a.accepted_failed + sign * b.accepted_failed),
            std::max(0.0, a.flagged_passed + sign * b.flagged_passed),
            std::max(0.0, a.flagged_failed + sign * b.flagged_failed)};
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

void add_to_total(quality_evidence& evidence, const quality_key& key, const rating_cell& cell, double sign,
                  core::steady_time now) {
    auto& total = evidence.totals[key];
    const auto current = decayed(total.cell, now - total.at, evidence.settings);
    total.cell = {sum(current.slow, cell.slow, sign), sum(current.fast, cell.fast, sign)};
    total.at = now;
}

void remove_from_totals(quality_evidence& evidence, const quality_evidence::source_counts& source,
                        core::steady_time now) {
    for (const auto& [key, cell] : source.cells) {
        add_to_total(evidence, key, decayed(cell, now - source.at, evidence.settings), -1, now);
    }
}

// Rounding leaves sums just above zero where all sources of a key are gone.
void remove_unused_totals(quality_evidence& evidence) {
    for (auto it = evidence.totals.begin(); it != evidence.totals.end();) {
        const bool used =
            std::any_of(evidence.sources.begin(), evidence.sources.end(),
                        [&](const auto& source) { return source.second.cells.count(it->first) > 0; });
        it = used ? std::next(it) : evidence.totals.erase(it);
    }
}

void count(rating_counts& counts, const rating& value) {
    auto& passed = value.flagged ? counts.flagged_passed : counts.accepted_passed;
    auto& failed = value.flagged ? counts.flagged_failed : counts.accepted_failed;
    (value.passed ? passed : failed) += 1;
}

} // namespace

bool operator<(const quality_key& a, const quality_key& b) {
    return std::tie(a.task, a.version, a.after) < std::tie(b.task, b.version, b.after);
}

void record_rating(quality_evidence& evidence, const std::string& source, const rating& value,
                   core::steady_time now) {
    auto& own = evidence.sources[source];
    for (auto& entry : own.cells) {
        entry.second = decayed(entry.second, now - own.at, evidence.settings);
    }
    own.at = now;
    ++own.sequence;
    rating_cell one;
    count(one.slow, value);
    count(one.fast, value);
    auto& cell = own.cells[value.key];
    cell = {sum(cell.slow, one.slow, 1), sum(cell.fast, one.fast, 1)};
    add_to_total(evidence, value.key, one, 1, now);
}

bool merge_report(quality_evidence& evidence, const quality_report& report, core::steady_time now) {
    // An expired source must not return with a late duplicate.
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
    for (const auto& [key, cell] : report.cells) {
        add_to_total(evidence, key, decayed(cell, report.age, evidence.settings), 1, now);
    }
    evidence.sources[report.source] = {report.sequence, at, report.cells};
    return true;
}

quality_report make_report(const quality_evidence& evidence, const std::string& source,
                           core::steady_time now) {
    const auto found = evidence.sources.find(source);
    if (found == evidence.sources.end()) {
        return {source, 0, core::nanoseconds(0), {}};
    }
    return {source, found->second.sequence, now - found->second.at, found->second.cells};
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
