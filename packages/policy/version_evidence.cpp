#include "policy/version_evidence.h"

#include <algorithm>

namespace figspoke::policy {

void merge_evidence(version_evidence& target, const version_evidence& other) {
    for (const auto& [source, cells] : other.sources) {
        for (const auto& [key, counts] : cells) {
            auto& known = target.sources[source][key];
            known.answered = std::max(known.answered, counts.answered);
            known.failed = std::max(known.failed, counts.failed);
            known.flagged = std::max(known.flagged, counts.flagged);
            known.rated_passed = std::max(known.rated_passed, counts.rated_passed);
            known.rated_failed = std::max(known.rated_failed, counts.rated_failed);
        }
    }
}

std::map<evidence_key, outcome_counts> sum_evidence(const version_evidence& evidence) {
    std::map<evidence_key, outcome_counts> sums;
    for (const auto& source : evidence.sources) {
        for (const auto& [key, counts] : source.second) {
            auto& sum = sums[key];
            sum.answered += counts.answered;
            sum.failed += counts.failed;
            sum.flagged += counts.flagged;
            sum.rated_passed += counts.rated_passed;
            sum.rated_failed += counts.rated_failed;
        }
    }
    return sums;
}

} // namespace figspoke::policy
