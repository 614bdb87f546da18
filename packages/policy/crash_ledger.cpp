#include "policy/crash_ledger.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "core/erase_where.h"
#include "core/hash.h"

namespace figspoke::policy {
namespace {

using crash_list = std::vector<confirmed_crash>;

core::steady_time latest_crash_time(const crash_list& crashes) {
    return std::max_element(crashes.begin(), crashes.end(),
                            [](const confirmed_crash& a, const confirmed_crash& b) { return a.at < b.at; })
        ->at;
}

// Replaces the crashes of a fingerprint; an empty list removes it.
void set_crashes(crash_ledger& ledger, std::uint64_t fingerprint, crash_list crashes) {
    const auto found = ledger.crashes.find(fingerprint);
    if (found != ledger.crashes.end()) {
        ledger.ranks.erase({found->second.size(), latest_crash_time(found->second), fingerprint});
        ledger.crashes.erase(found);
    }
    if (!crashes.empty()) {
        ledger.ranks.insert({crashes.size(), latest_crash_time(crashes), fingerprint});
        ledger.crashes.emplace(fingerprint, std::move(crashes));
    }
    ++ledger.changes;
}

bool is_same_crash(const crash_ledger_settings& settings, core::steady_time a, core::steady_time b) {
    return (a < b ? b - a : a - b) < settings.same_crash_window;
}

// Removes the oldest successes beyond `most`.
void limit_cleared(std::map<std::uint64_t, core::steady_time>& cleared, std::size_t most) {
    if (cleared.size() <= most) {
        return;
    }
    std::vector<core::steady_time> times;
    times.reserve(cleared.size());
    for (const auto& [fingerprint, at] : cleared) {
        times.push_back(at);
    }
    const auto cutoff = times.begin() + std::ptrdiff_t(cleared.size() - most);
    std::nth_element(times.begin(), cutoff, times.end());
    auto removed_at_cutoff = std::count(times.begin(), cutoff, *cutoff);
    core::erase_where(cleared, [&](core::steady_time at, std::uint64_t) {
        return at < *cutoff || (at == *cutoff && removed_at_cutoff-- > 0);
    });
}

void remove_oldest_send(crash_ledger& ledger) {
    ledger.unconfirmed_fingerprints -= ledger.unconfirmed.front().fingerprints.size();
    ledger.unconfirmed.pop_front();
}

// Takes the sends for which the condition holds out of the unconfirmed ones.
template <class Condition>
std::vector<unconfirmed_crash> take_unconfirmed(crash_ledger& ledger, Condition condition) {
    std::vector<unconfirmed_crash> taken;
    std::deque<unconfirmed_crash> kept;
    for (auto& crash : ledger.unconfirmed) {
        if (condition(crash.send)) {
            ledger.unconfirmed_fingerprints -= crash.fingerprints.size();
            taken.push_back(std::move(crash));
        } else {
            kept.push_back(std::move(crash));
        }
    }
    ledger.unconfirmed = std::move(kept);
    return taken;
}

// Crashes in which fingerprints of other requests took part, with the number of crashes of the fingerprint
// that may explain them.
struct explanation {
    core::steady_time at;
    std::size_t crashes = 0;
};

using explanations = std::unordered_map<std::string, std::vector<explanation>>;

// Returns the ranks of fingerprints with `count` crashes or more.
std::pair<std::set<crash_rank>::const_iterator, std::set<crash_rank>::const_iterator>
ranks_from(const crash_ledger& ledger, std::size_t count) {
    return {ledger.ranks.lower_bound({count, core::steady_time::min(), 0}), ledger.ranks.end()};
}

// Returns the explanations by fingerprints that aren't of the request, by upstream. The fingerprints that
// took part in the same crashes follow each other in the order of ranks and give one explanation.
explanations find_explanations(const crash_ledger& ledger, std::size_t count, request_fingerprints request) {
    std::sort(request.begin(), request.end());
    explanations found;
    const auto [first, last] = ranks_from(ledger, count);
    for (auto rank = first; rank != last; ++rank) {
        if (std::binary_search(request.begin(), request.end(), rank->fingerprint)) {
            continue;
        }
        for (const auto& crash : ledger.crashes.at(rank->fingerprint)) {
            auto& at_upstream = found[crash.upstream];
            const explanation added{crash.at, rank->crashes};
            if (at_upstream.empty() || at_upstream.back().at != added.at ||
                at_upstream.back().crashes != added.crashes) {
                at_upstream.push_back(added);
            }
        }
    }
    return found;
}

bool is_explained(const explanations& others, const crash_ledger_settings& settings,
                  const confirmed_crash& crash, std::size_t count) {
    const auto found = others.find(crash.upstream);
    return found != others.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const explanation& other) {
               return other.crashes >= count && is_same_crash(settings, crash.at, other.at);
           });
}

// Returns whether so many crashes of a fingerprint have no other explanation that it is refused. With a
// margin, an explanation needs that many crashes more than the fingerprint has.
bool is_attributed(const crash_list& crashes, const explanations& others,
                   const crash_ledger_settings& settings, std::size_t margin) {
    const auto unexplained = std::count_if(crashes.begin(), crashes.end(), [&](const auto& crash) {
        return !is_explained(others, settings, crash, crashes.size() + margin);
    });
    return std::size_t(unexplained) >= settings.refuse_after;
}

// Returns the fingerprints of the request to which its crashes are attributed. Requests beside the cause are
// repeated like it and may meet it again, so that a count alone would refuse them too. Where two requests
// explain the crashes equally well, both run: the next crash or success decides.
request_fingerprints attributed_fingerprints(const crash_ledger& ledger,
                                             const crash_ledger_settings& settings,
                                             const request_fingerprints& request) {
    request_fingerprints found;
    const auto [first, last] = ranks_from(ledger, settings.refuse_after);
    if (first != last) {
        std::copy_if(request.begin(), request.end(), std::back_inserter(found), [&](auto fingerprint) {
            return crash_count(ledger, fingerprint) >= settings.refuse_after;
        });
    }
    if (!found.empty()) {
        const auto others = find_explanations(ledger, settings.refuse_after, request);
        found.erase(std::remove_if(found.begin(), found.end(),
                                   [&](auto fingerprint) {
                                       return !is_attributed(ledger.crashes.at(fingerprint), others, settings,
                                                             0);
                                   }),
                    found.end());
    }
    return found;
}

} // namespace

bool operator<(const crash_rank& a, const crash_rank& b) {
    return std::tie(a.crashes, a.latest, a.fingerprint) < std::tie(b.crashes, b.latest, b.fingerprint);
}

// Nodes that leave parts out leave out the same ones, whatever their order in a prompt.
request_fingerprints make_fingerprints(std::uint64_t request,
                                       const std::vector<std::string_view>& shared_parts,
                                       const crash_ledger_settings& settings) {
    request_fingerprints parts;
    parts.reserve(shared_parts.size() + 1);
    for (const auto id : shared_parts) {
        if (!id.empty()) {
            parts.push_back(core::stable_hash("prompt part\n" + std::string(id)));
        }
    }
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    parts.resize(std::min(parts.size(), settings.max_parts));
    parts.push_back(request);
    return parts;
}

bool record_crash(crash_ledger& ledger, const crash_ledger_settings& settings, std::uint64_t fingerprint,
                  const std::string& upstream, core::steady_time at) {
    const auto cleared = ledger.cleared.find(fingerprint);
    if (cleared != ledger.cleared.end() && at <= cleared->second) {
        return false;
    }
    const auto found = ledger.crashes.find(fingerprint);
    auto crashes = found == ledger.crashes.end() ? crash_list() : found->second;
    const bool known = std::any_of(crashes.begin(), crashes.end(), [&](const confirmed_crash& crash) {
        return crash.upstream == upstream && is_same_crash(settings, crash.at, at);
    });
    if (known) {
        return false;
    }
    crashes.push_back({upstream, at});
    if (crashes.size() > settings.max_crashes) {
        crashes.erase(
            std::min_element(crashes.begin(), crashes.end(),
                             [](const confirmed_crash& a, const confirmed_crash& b) { return a.at < b.at; }));
    }
    set_crashes(ledger, fingerprint, std::move(crashes));
    if (ledger.crashes.size() > settings.max_fingerprints) {
        set_crashes(ledger, ledger.ranks.begin()->fingerprint, {});
    }
    return true;
}

void record_broken_send(crash_ledger& ledger, const crash_ledger_settings& settings,
                        const request_fingerprints& request, const broken_send& send) {
    while (!ledger.unconfirmed.empty() &&
           send.at - ledger.unconfirmed.front().send.at > settings.confirmation_window) {
        remove_oldest_send(ledger);
    }
    ledger.unconfirmed.push_back({request, send});
    ledger.unconfirmed_fingerprints += request.size();
    while (ledger.unconfirmed_fingerprints > settings.max_fingerprints && ledger.unconfirmed.size() > 1) {
        remove_oldest_send(ledger);
    }
}

// Fingerprints with earlier crashes go first: in a full ledger, new ones would take their place.
std::vector<std::uint64_t> confirm_crash(crash_ledger& ledger, const crash_ledger_settings& settings,
                                         const std::string& upstream, core::steady_time crashed_at) {
    std::vector<std::pair<std::uint64_t, core::steady_time>> confirmed;
    const auto sends =
        take_unconfirmed(ledger, [&](const broken_send& send) { return send.upstream == upstream; });
    for (const auto& [fingerprints, send] : sends) {
        const auto window = send.closed_here ? settings.closed_window : settings.confirmation_window;
        if (crashed_at - send.at > window) {
            continue;
        }
        // A closed connection doesn't tell when the upstream crashed.
        const auto at = send.closed_here ? crashed_at : send.at;
        for (const auto fingerprint : fingerprints) {
            confirmed.emplace_back(fingerprint, at);
        }
    }
    std::stable_partition(confirmed.begin(), confirmed.end(),
                          [&](const auto& crash) { return ledger.crashes.count(crash.first) > 0; });
    std::vector<std::uint64_t> over_limit;
    for (const auto& [fingerprint, at] : confirmed) {
        if (record_crash(ledger, settings, fingerprint, upstream, at) &&
            crash_count(ledger, fingerprint) >= settings.refuse_after) {
            over_limit.push_back(fingerprint);
        }
    }
    return over_limit;
}

void discard_unconfirmed_crashes(crash_ledger& ledger, const std::string& upstream, core::steady_time until) {
    take_unconfirmed(ledger,
                     [&](const broken_send& send) { return send.upstream == upstream && send.at <= until; });
}

// Sends that the node closed itself are frequent and aren't worth further connections.
bool record_accepted_connection(crash_ledger& ledger, const crash_ledger_settings& settings,
                                const std::string& upstream, core::steady_time at) {
    discard_unconfirmed_crashes(ledger, upstream, at - settings.survival_time);
    return std::any_of(ledger.unconfirmed.begin(), ledger.unconfirmed.end(),
                       [&](const unconfirmed_crash& crash) {
                           return crash.send.upstream == upstream && !crash.send.closed_here;
                       });
}

void clear_fingerprint(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time now) {
    if (ledger.crashes.count(fingerprint) > 0) {
        set_crashes(ledger, fingerprint, {});
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
    crash_list later;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(later),
                 [&](const confirmed_crash& crash) { return crash.at > at; });
    if (later.size() < found->second.size()) {
        set_crashes(ledger, fingerprint, std::move(later));
    }
}

std::size_t crash_count(const crash_ledger& ledger, std::uint64_t fingerprint) {
    const auto found = ledger.crashes.find(fingerprint);
    return found == ledger.crashes.end() ? 0 : found->second.size();
}

std::vector<crash_rank> ranks_with(const crash_ledger& ledger, std::size_t crashes, core::steady_time since) {
    const auto first = ledger.ranks.lower_bound({crashes, since, 0});
    const auto last = ledger.ranks.lower_bound({crashes + 1, core::steady_time::min(), 0});
    std::vector<crash_rank> found(first, last);
    std::reverse(found.begin(), found.end());
    return found;
}

bool is_refused(const crash_ledger& ledger, const crash_ledger_settings& settings,
                const request_fingerprints& request) {
    return !attributed_fingerprints(ledger, settings, request).empty();
}

// A fingerprint is no explanation of its own crashes here, as it has fewer than one more than it has.
std::vector<std::uint64_t> likely_causes(const crash_ledger& ledger, const crash_ledger_settings& settings,
                                         std::size_t most) {
    std::vector<std::uint64_t> causes;
    const auto others = find_explanations(ledger, settings.refuse_after, {});
    for (auto rank = ledger.ranks.rbegin(); rank != ledger.ranks.rend(); ++rank) {
        if (rank->crashes < settings.refuse_after || causes.size() >= most) {
            break;
        }
        if (is_attributed(ledger.crashes.at(rank->fingerprint), others, settings, 1)) {
            causes.push_back(rank->fingerprint);
        }
    }
    return causes;
}

std::optional<core::steady_time> next_trial_time(const crash_ledger& ledger,
                                                 const crash_ledger_settings& settings,
                                                 const request_fingerprints& request) {
    core::steady_time latest = core::steady_time::min();
    for (const auto fingerprint : attributed_fingerprints(ledger, settings, request)) {
        if (crash_count(ledger, fingerprint) >= settings.certain_after) {
            return std::nullopt;
        }
        latest = std::max(latest, latest_crash_time(ledger.crashes.at(fingerprint)));
    }
    return latest == core::steady_time::min() ? latest : latest + settings.trial_delay;
}

void expire_crashes(crash_ledger& ledger, const crash_ledger_settings& settings, core::steady_time now) {
    std::vector<std::uint64_t> expired;
    for (auto rank = ledger.ranks.begin(); rank != ledger.ranks.end();) {
        const bool over_limit = rank->crashes >= settings.refuse_after;
        if (now - rank->latest > (over_limit ? settings.refused_expiry : settings.expiry)) {
            expired.push_back(rank->fingerprint);
            ++rank;
        } else {
            rank = ledger.ranks.lower_bound({rank->crashes + 1, core::steady_time::min(), 0});
        }
    }
    for (const auto fingerprint : expired) {
        set_crashes(ledger, fingerprint, {});
    }
    core::erase_where(ledger.cleared,
                      [&](core::steady_time at, std::uint64_t) { return now - at > settings.expiry; });
    limit_cleared(ledger.cleared, settings.max_fingerprints);
}

} // namespace figspoke::policy
