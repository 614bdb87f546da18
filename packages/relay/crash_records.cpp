#include "relay/crash_records.h"

namespace figspoke::relay {
namespace {

constexpr std::size_t max_crash_records = 200;

} // namespace

std::vector<crash_record> crash_records(const policy::crash_ledger& ledger, core::milliseconds recent,
                                        core::steady_time now) {
    std::vector<crash_record> records;
    for (const auto& [fingerprint, at] : ledger.cleared) {
        if (now - at < recent && records.size() < max_crash_records) {
            records.push_back({fingerprint, {}, core::to_ms(now - at)});
        }
    }
    for (const auto& [fingerprint, crashes] : ledger.crashes) {
        // A single crash is no evidence against a request yet, and most fingerprints never recur.
        if (now - crashes.back().at >= recent && crashes.size() == 1) {
            continue;
        }
        for (const auto& crash : crashes) {
            records.push_back({fingerprint, crash.upstream, core::to_ms(now - crash.at)});
        }
        if (records.size() >= max_crash_records) {
            break;
        }
    }
    return records;
}

void merge_crash_records(policy::crash_ledger& ledger, const std::vector<crash_record>& records,
                         core::steady_time now) {
    for (const auto& record : records) {
        if (record.upstream.empty()) {
            policy::clear_crashes_until(ledger, record.fingerprint, now - record.age);
        } else {
            policy::record_crash(ledger, {}, record.fingerprint, record.upstream, now - record.age);
        }
    }
}

} // namespace figspoke::relay
