#include "policy/crash_ledger.h"

#include <algorithm>
#include <utility>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

void remove_least_important(crash_ledger& ledger, const crash_ledger_settings& settings) {
    const auto importance = [&](const std::vector<confirmed_crash>& crashes) {
        return std::make_pair(crashes.size() >= settings.refuse_after, latest_crash_time(crashes));
    };
    const auto least =
        std::min_element(ledger.crashes.begin(), ledger.crashes.end(), [&](const auto& a, const auto& b) {
            return importance(a.second) < importance(b.second);
        });
    ledger.crashes.erase(least);
}

bool is_same_crash(const crash_ledger_settings& settings, const confirmed_crash& a,
                   const confirmed_crash& b) {
    const auto apart = a.at < b.at ? b.at - a.at : a.at - b.at;
    return a.upstream == b.upstream && apart < settings.same_crash_window;
}

// Returns whether a fingerprint of other requests that took part in the crash has `count` crashes or more.
bool has_other_explanation(const crash_ledger& ledger, const crash_ledger_settings& settings,
                           const confirmed_crash& crash, std::size_t count,
                           const request_fingerprints& request) {
    return std::any_of(ledger.crashes.begin(), ledger.crashes.end(), [&](const auto& entry) {
        const auto& [fingerprint, crashes] = entry;
        return crashes.size() >= count &&
               std::find(request.begin(), request.end(), fingerprint) == request.end() &&
               std::any_of(crashes.begin(), crashes.end(), [&](const confirmed_crash& other) {
                   return is_same_crash(settings, crash, other);
               });
    });
}

// Returns whether the crashes of a fingerprint of the request are attributed to it. Requests beside the cause
// are repeated like it and may meet it again, so that a count alone would refuse them too. Where two requests
// explain the crashes equally well, both run: the next crash or success decides. With a margin, an
// explanation by others needs that many crashes more.
bool is_attributed(const crash_ledger& ledger, const crash_ledger_settings& settings,
                   std::uint64_t fingerprint, const request_fingerprints& request, std::size_t margin = 0) {
    const auto found = ledger.crashes.find(fingerprint);
    if (found == ledger.crashes.end() || found->second.size() < settings.refuse_after) {
        return false;
    }
    const auto& crashes = found->second;
    const auto attributed = std::count_if(crashes.begin(), crashes.end(), [&](const auto& crash) {
        return !has_other_explanation(ledger, settings, crash, crashes.size() + margin, request);
    });
    return std::size_t(attributed) >= settings.refuse_after;
}

} // namespace

bool record_crash(crash_ledger& ledger, const crash_ledger_settings& settings, std::uint64_t fingerprint,
                  const std::string& upstream, core::steady_time at) {
    const auto cleared = ledger.cleared.find(fingerprint);
    if (cleared != ledger.cleared.end() && at <= cleared->second) {
        return false;
    }
    auto& crashes = ledger.crashes[fingerprint];
    const confirmed_crash added{upstream, at};
    const bool known = std::any_of(crashes.begin(), crashes.end(), [&](const confirmed_crash& crash) {
        return is_same_crash(settings, crash, added);
    });
    if (known) {
        return false;
    }
    crashes.push_back(added);
    if (crashes.size() > settings.max_crashes) {
        crashes.erase(
            std::min_element(crashes.begin(), crashes.end(),
                             [](const confirmed_crash& a, const confirmed_crash& b) { return a.at < b.at; }));
    }
    if (ledger.crashes.size() > settings.max_fingerprints) {
        remove_least_important(ledger, settings);
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
                                         const std::string& upstream, core::steady_time crashed_at) {
    std::vector<std::uint64_t> over_limit;
    auto crashes = std::exchange(ledger.unconfirmed, {});
    for (auto& crash : crashes) {
        if (crash.upstream != upstream) {
            ledger.unconfirmed.push_back(std::move(crash));
            continue;
        }
        const auto window = crash.closed_here ? settings.closed_window : settings.confirmation_window;
        // A closed connection doesn't tell when the upstream crashed.
        const auto at = crash.closed_here ? crashed_at : crash.at;
        const bool recent = crashed_at - crash.at <= window;
        if (recent && record_crash(ledger, settings, crash.fingerprint, upstream, at) &&
            crash_count(ledger, crash.fingerprint) >= settings.refuse_after) {
            over_limit.push_back(crash.fingerprint);
        }
    }
    return over_limit;
}

void discard_unconfirmed_crashes(crash_ledger& ledger, const std::string& upstream, core::steady_time until) {
    auto& crashes = ledger.unconfirmed;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                 [&](const unconfirmed_crash& crash) {
                                     return crash.upstream == upstream && crash.at <= until;
                                 }),
                  crashes.end());
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

core::steady_time latest_crash_time(const std::vector<confirmed_crash>& crashes) {
    return std::max_element(crashes.begin(), crashes.end(),
                            [](const confirmed_crash& a, const confirmed_crash& b) { return a.at < b.at; })
        ->at;
}

bool is_refused(const crash_ledger& ledger, const crash_ledger_settings& settings,
                const request_fingerprints& request) {
    return std::any_of(request.begin(), request.end(), [&](std::uint64_t fingerprint) {
        return is_attributed(ledger, settings, fingerprint, request);
    });
}

bool is_likely_cause(const crash_ledger& ledger, const crash_ledger_settings& settings,
                     std::uint64_t fingerprint) {
    return is_attributed(ledger, settings, fingerprint, {fingerprint}, 1);
}

std::optional<core::steady_time> next_trial_time(const crash_ledger& ledger,
                                                 const crash_ledger_settings& settings,
                                                 const request_fingerprints& request) {
    core::steady_time latest = core::steady_time::min();
    for (const auto fingerprint : request) {
        if (is_attributed(ledger, settings, fingerprint, request)) {
            if (crash_count(ledger, fingerprint) >= settings.certain_after) {
                return std::nullopt;
            }
            latest = std::max(latest, latest_crash_time(ledger.crashes.at(fingerprint)));
        }
    }
    return latest == core::steady_time::min() ? latest : latest + settings.trial_delay;
}

void expire_crashes(crash_ledger& ledger, const crash_ledger_settings& settings, core::steady_time now) {
    core::erase_where(ledger.crashes, [&](const auto& crashes, std::uint64_t) {
        const bool over_limit = crashes.size() >= settings.refuse_after;
        return now - latest_crash_time(crashes) > (over_limit ? settings.refused_expiry : settings.expiry);
    });
    core::erase_where(ledger.cleared,
                      [&](core::steady_time at, std::uint64_t) { return now - at > settings.expiry; });
    while (ledger.cleared.size() > settings.max_fingerprints) {
        ledger.cleared.erase(
            std::min_element(ledger.cleared.begin(), ledger.cleared.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
}

} // namespace figspoke::policy
