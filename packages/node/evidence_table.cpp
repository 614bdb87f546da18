#include "node/evidence_table.h"

namespace figspoke::node {

void record_upstream_crash(evidence_table& evidence, const std::string& source, const std::string& upstream,
                           const std::vector<policy::in_flight_request>& running, core::steady_time now) {
    const std::lock_guard lock(evidence.mutex);
    policy::record_crash(evidence.suspects, source, upstream, running, now);
    evidence.changed = true;
}

std::uint64_t crashes_seen(evidence_table& evidence, const std::string& upstream) {
    const std::lock_guard lock(evidence.mutex);
    return policy::crashes_seen(evidence.suspects, upstream);
}

void record_passed_alone(evidence_table& evidence, const std::string& source, const std::string& fingerprint,
                         core::steady_time now) {
    const std::lock_guard lock(evidence.mutex);
    policy::record_passed_alone(evidence.suspects, source, fingerprint, now);
    evidence.changed = true;
}

void record_version_outcome(evidence_table& evidence, const std::string& source,
                            const policy::evidence_key& key, bool answered, bool flagged) {
    const std::lock_guard lock(evidence.mutex);
    auto& counts = evidence.versions.sources[source][key];
    counts.answered += answered ? 1 : 0;
    counts.failed += answered ? 0 : 1;
    counts.flagged += answered && flagged ? 1 : 0;
    evidence.changed = true;
}

std::string known_task(evidence_table& evidence, const std::string& task) {
    const std::lock_guard lock(evidence.mutex);
    if (evidence.tasks.count(task) == 0 && evidence.tasks.size() >= max_task_kinds) {
        return "general";
    }
    evidence.tasks.insert(task);
    return task;
}

policy::run_mode run_mode_of(evidence_table& evidence, const std::string& fingerprint,
                             core::steady_time now) {
    const std::lock_guard lock(evidence.mutex);
    return policy::run_mode_of(evidence.suspects, fingerprint, now);
}

} // namespace figspoke::node
