#include "relay/crash_records.h"

#include <algorithm>
#include <utility>

namespace figspoke::relay {
namespace {

constexpr std::size_t max_crash_records = 200;
// At most these parts of the records tell of cleared and of refused fingerprints, so that there is room for
// those that may be refused next.
constexpr std::size_t max_cleared_records = max_crash_records / 4;
constexpr std::size_t max_refused_records = max_crash_records / 2;

// Returns the part of a list that the heartbeats of this moment tell, at most `most` of its entries. Those of
// the next interval tell the entries that follow.
template <class Entry>
std::vector<Entry> slice_of(std::vector<Entry> list, std::size_t most, core::steady_time now) {
    if (list.size() > most) {
        const auto round = std::size_t(now.time_since_epoch() / heartbeat_interval);
        const auto first = std::ptrdiff_t(round % list.size() * most % list.size());
        std::rotate(list.begin(), list.begin() + first, list.end());
        list.resize(most);
    }
    return list;
}

void add_cleared(std::vector<crash_record>& records, const policy::crash_ledger& ledger,
                 core::milliseconds recent, core::steady_time now) {
    std::vector<crash_record> cleared;
    for (const auto& [fingerprint, at] : ledger.cleared) {
        if (now - at < recent) {
            cleared.push_back({fingerprint, {}, core::to_ms(now - at)});
        }
    }
    const auto told = slice_of(std::move(cleared), max_cleared_records, now);
    records.insert(records.end(), told.begin(), told.end());
}

// Adds at most `most` records of fingerprints with so many crashes. Each is told with all its crashes.
void add_crashes(std::vector<crash_record>& records, const policy::crash_ledger& ledger, std::size_t crashes,
                 core::steady_time since, std::size_t most, core::steady_time now) {
    for (const auto& rank : slice_of(policy::ranks_with(ledger, crashes, since), most / crashes, now)) {
        for (const auto& crash : ledger.crashes.at(rank.fingerprint)) {
            records.push_back({rank.fingerprint, crash.upstream, core::to_ms(now - crash.at)});
        }
    }
}

} // namespace

// An old crash of a fingerprint that isn't over the limit is left out: peers have received it, and most never
// recur.
std::vector<crash_record> crash_records(const policy::crash_ledger& ledger, core::milliseconds recent,
                                        core::steady_time now) {
    std::vector<crash_record> records;
    add_cleared(records, ledger, recent, now);
    const auto limit = policy::crash_ledger_settings{}.refuse_after;
    const auto refused_end = records.size() + max_refused_records;
    const auto most = ledger.ranks.empty() ? 0 : ledger.ranks.rbegin()->crashes;
    for (auto crashes = most; crashes > 0; --crashes) {
        const bool refused = crashes >= limit;
        add_crashes(records, ledger, crashes, refused ? core::steady_time::min() : now - recent,
                    (refused ? refused_end : max_crash_records) - records.size(), now);
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
