#include "policy/crash_ledger.h"

#include <algorithm>
#include <utility>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

core::steady_time latest(const std::vector<seen_crash>& crashes) {
    return std::max_element(crashes.begin(), crashes.end(),
                            [](const seen_crash& a, const seen_crash& b) { return a.at < b.at; })
        ->at;
}

void drop_oldest(crash_ledger& ledger) {
    const auto oldest =
        std::min_element(ledger.crashes.begin(), ledger.crashes.end(),
                         [](const auto& a, const auto& b) { return latest(a.second) < latest(b.second); });
    ledger.crashes.erase(oldest);
}

} // namespace

bool record_crash(crash_ledger& ledger, const crash_ledger_settings& settings, std::uint64_t fingerprint,
                  const std::string& upstream, core::steady_time at) {
    const auto cleared = ledger.cleared.find(fingerprint);
    if (cleared != ledger.cleared.end() && at <= cleared->second) {
        return false;
    }
    auto& crashes = ledger.crashes[fingerprint];
    const bool known = std::any_of(crashes.begin(), crashes.end(), [&](const seen_crash& one) {
        const auto apart = one.at < at ? at - one.at : one.at - at;
        return one.upstream == upstream && apart < settings.same_crash;
    });
    if (known) {
        return false;
    }
    crashes.push_back({upstream, at});
    if (ledger.crashes.size() > settings.max_fingerprints) {
        drop_oldest(ledger);
    }
    return true;
}

void note_broken_run(crash_ledger& ledger, const crash_ledger_settings& settings, const broken_run& run) {
    auto& runs = ledger.unconfirmed;
    const auto old = [&](const broken_run& one) { return run.at - one.at > settings.confirm_within; };
    runs.erase(std::remove_if(runs.begin(), runs.end(), old), runs.end());
    if (runs.size() < settings.max_fingerprints) {
        runs.push_back(run);
    }
}

std::vector<std::uint64_t> confirm_crash(crash_ledger& ledger, const crash_ledger_settings& settings,
                                         const std::string& upstream, core::steady_time now) {
    std::vector<std::uint64_t> refused;
    auto runs = std::exchange(ledger.unconfirmed, {});
    for (auto& run : runs) {
        if (run.upstream != upstream) {
            ledger.unconfirmed.push_back(std::move(run));
            continue;
        }
        const bool recent = now - run.at <= settings.confirm_within;
        if (recent && record_crash(ledger, settings, run.fingerprint, upstream, run.at) &&
            is_refused(ledger, settings, run.fingerprint)) {
            refused.push_back(run.fingerprint);
        }
    }
    return refused;
}

void clear_fingerprint(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time now) {
    if (ledger.crashes.erase(fingerprint) > 0) {
        ledger.cleared[fingerprint] = now;
    }
}

void note_cleared(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time at) {
    auto& cleared = ledger.cleared[fingerprint];
    cleared = std::max(cleared, at);
    const auto found = ledger.crashes.find(fingerprint);
    if (found == ledger.crashes.end()) {
        return;
    }
    auto& crashes = found->second;
    crashes.erase(
        std::remove_if(crashes.begin(), crashes.end(), [&](const seen_crash& one) { return one.at <= at; }),
        crashes.end());
    if (crashes.empty()) {
        ledger.crashes.erase(found);
    }
}

std::size_t crash_count(const crash_ledger& ledger, std::uint64_t fingerprint) {
    const auto found = ledger.crashes.find(fingerprint);
    return found == ledger.crashes.end() ? 0 : found->second.size();
}

bool is_refused(const crash_ledger& ledger, const crash_ledger_settings& settings,
                std::uint64_t fingerprint) {
    return crash_count(ledger, fingerprint) >= settings.refuse_after;
}

void expire_crashes(crash_ledger& ledger, const crash_ledger_settings& settings, core::steady_time now) {
    core::erase_where(ledger.crashes, [&](const auto& crashes, std::uint64_t) {
        return now - latest(crashes) > settings.expiry;
    });
    core::erase_where(ledger.cleared,
                      [&](core::steady_time at, std::uint64_t) { return now - at > settings.expiry; });
}

} // namespace figspoke::policy
