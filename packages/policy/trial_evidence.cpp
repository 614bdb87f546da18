#include "policy/trial_evidence.h"

#include <algorithm>

namespace figspoke::policy {

bool merge_report(trial_evidence& evidence, const trial_report& report, core::milliseconds age,
                  core::steady_time now) {
    auto& stored = evidence.reports[{report.node, report.incarnation}];
    if (stored.report.sequence >= report.sequence) {
        return false;
    }
    stored.report = report;
    stored.created_at = now - std::max(age, core::milliseconds(0));
    return true;
}

trial_totals sum_reports(const trial_evidence& evidence, core::milliseconds lifetime, core::steady_time now) {
    trial_totals totals;
    for (const auto& [process, stored] : evidence.reports) {
        add_counts(totals.target, stored.report.target);
        add_counts(totals.old, stored.report.old);
        if (now - stored.created_at <= lifetime) {
            totals.running_on_old += stored.report.running_on_old;
        }
    }
    return totals;
}

} // namespace figspoke::policy
