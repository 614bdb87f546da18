#include "relay/crash_marks.h"

namespace figspoke::relay {
namespace {

constexpr std::size_t max_crash_marks = 200;

} // namespace

std::vector<crash_mark> crash_marks(const policy::crash_ledger& ledger, core::milliseconds recent,
                                    core::steady_time now) {
    std::vector<crash_mark> marks;
    for (const auto& [fingerprint, at] : ledger.cleared) {
        if (now - at < recent && marks.size() < max_crash_marks) {
            marks.push_back({fingerprint, {}, core::to_ms(now - at)});
        }
    }
    for (const auto& [fingerprint, crashes] : ledger.crashes) {
        // A single crash is no evidence against a request yet, and most fingerprints never recur.
        if (now - crashes.back().at >= recent && crashes.size() == 1) {
            continue;
        }
        for (const auto& one : crashes) {
            marks.push_back({fingerprint, one.upstream, core::to_ms(now - one.at)});
        }
        if (marks.size() >= max_crash_marks) {
            break;
        }
    }
    return marks;
}

void take_crash_marks(policy::crash_ledger& ledger, const std::vector<crash_mark>& marks,
                      core::steady_time now) {
    for (const auto& mark : marks) {
        if (mark.upstream.empty()) {
            policy::note_cleared(ledger, mark.fingerprint, now - mark.age);
        } else {
            policy::record_crash(ledger, {}, mark.fingerprint, mark.upstream, now - mark.age);
        }
    }
}

} // namespace figspoke::relay
