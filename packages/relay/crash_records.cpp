#include "relay/crash_records.h"

#include <algorithm>
#include <utility>

namespace figspoke::relay {
namespace {

constexpr std::size_t max_crash_records = 200;
// At most this part of the records tells of cleared fingerprints.
constexpr std::size_t max_cleared_records = max_crash_records / 2;

using ledger_entry = std::map<std::uint64_t, std::vector<policy::confirmed_crash>>::value_type;

// Returns the fingerprints that peers must know, those with the most crashes first. An old crash of a
// fingerprint that isn't over the limit is left out: peers have received it, and most never recur.
std::vector<const ledger_entry*> reported_crashes(const policy::crash_ledger& ledger,
                                                  core::milliseconds recent, core::steady_time now) {
    const std::size_t limit = policy::crash_ledger_settings{}.refuse_after;
    std::vector<const ledger_entry*> entries;
    for (const auto& entry : ledger.crashes) {
        if (entry.second.size() >= limit || now - policy::latest_crash_time(entry.second) < recent) {
            entries.push_back(&entry);
        }
    }
    std::stable_sort(entries.begin(), entries.end(), [](const ledger_entry* a, const ledger_entry* b) {
        return std::make_pair(a->second.size(), policy::latest_crash_time(a->second)) >
               std::make_pair(b->second.size(), policy::latest_crash_time(b->second));
    });
    return entries;
}

} // namespace

std::vector<crash_record> crash_records(const policy::crash_ledger& ledger, core::milliseconds recent,
                                        core::steady_time now) {
    std::vector<crash_record> records;
    for (const auto& [fingerprint, at] : ledger.cleared) {
        if (now - at < recent && records.size() < max_cleared_records) {
            records.push_back({fingerprint, {}, core::to_ms(now - at)});
        }
    }
    for (const auto* entry : reported_crashes(ledger, recent, now)) {
        for (const auto& crash : entry->second) {
            records.push_back({entry->first, crash.upstream, core::to_ms(now - crash.at)});
        }
        if (records.size() >= max_crash_records) {
            break;
        }
    }
    return records;
}

std::map<std::string, core::steady_time> merge_crash_records(policy::crash_ledger& ledger,
                                                             const std::vector<crash_record>& records,
                                                             core::steady_time now) {
    std::map<std::string, core::steady_time> crashed;
    for (const auto& record : records) {
        if (record.age > policy::crash_ledger_settings{}.refused_expiry) {
            continue;
        }
        if (record.upstream.empty()) {
            policy::clear_crashes_until(ledger, record.fingerprint, now - record.age);
        } else if (policy::record_crash(ledger, {}, record.fingerprint, record.upstream, now - record.age)) {
            auto& latest = crashed.emplace(record.upstream, now - record.age).first->second;
            latest = std::max(latest, now - record.age);
        }
    }
    return crashed;
}

} // namespace figspoke::relay
