#include "policy/crash_ledger.h"

#include <algorithm>
#include <utility>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

core::steady_time latest_crash_time(const std::vector<confirmed_crash>& crashes) {
    return std::max_element(crashes.begin(), crashes.end(),
                            [](const confirmed_crash& a, const confirmed_crash& b) { return a.at < b.at; })
        ->at;
}

void remove_oldest_fingerprint(crash_ledger& ledger) {
    const auto oldest =
        std::min_element(ledger.crashes.begin(), ledger.crashes.end(), [](const auto& a, const auto& b) {
            return latest_crash_time(a.second) < latest_crash_time(b.second);
        });
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
    const bool known = std::any_of(crashes.begin(), crashes.end(), [&](const confirmed_crash& crash) {
        const auto distance = crash.at < at ? at - crash.at : crash.at - at;
        return crash.upstream == upstream && distance < settings.same_crash_window;
    });
    if (known) {
        return false;
    }
    crashes.push_back({upstream, at});
    if (ledger.crashes.size() > settings.max_fingerprints) {
        remove_oldest_fingerprint(ledger);
    }
    return true;
}

void record_unconfirmed_crash(crash_ledger& ledger, const crash_ledger_settings& settings,
                              const unconfirmed_crash& crash) {
    auto& crashes = ledger.unconfirmed;
    const auto expired = [&](const unconfirmed_crash& earlier) {
        return crash.at - earlier.at > settings.confirmation_window;
    };
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(), expired), crashes.end());
    if (crashes.size() < settings.max_fingerprints) {
        crashes.push_back(crash);
    }
}

std::vector<std::uint64_t> confirm_crash(crash_ledger& ledger, const crash_ledger_settings& settings,
                                         const std::string& upstream, core::steady_time now) {
    std::vector<std::uint64_t> refused;
    auto crashes = std::exchange(ledger.unconfirmed, {});
    for (auto& crash : crashes) {
        if (crash.upstream != upstream) {
            ledger.unconfirmed.push_back(std::move(crash));
            continue;
        }
        const bool recent = now - crash.at <= settings.confirmation_window;
        if (recent && record_crash(ledger, settings, crash.fingerprint, upstream, crash.at) &&
            is_refused(ledger, settings, crash.fingerprint)) {
            refused.push_back(crash.fingerprint);
        }
    }
    return refused;
}

void clear_fingerprint(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time now) {
    if (ledger.crashes.erase(fingerprint) > 0) {
        ledger.cleared[fingerprint] = now;
    }
}

void clear_crashes_until(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time at) {
    auto& cleared = ledger.cleared[fingerprint];
    cleared = std::max(cleared, at);
    const auto found = ledger.crashes.find(fingerprint);
    if (found == ledger.crashes.end()) {
        return;
    }
    auto& crashes = found->second;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                 [&](const confirmed_crash& crash) { return crash.at <= at; }),
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
        return now - latest_crash_time(crashes) > settings.expiry;
    });
    core::erase_where(ledger.cleared,
                      [&](core::steady_time at, std::uint64_t) { return now - at > settings.expiry; });
}

} // namespace figspoke::policy
