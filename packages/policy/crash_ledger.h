#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

struct crash_ledger_settings {
    /// Crashes of different upstreams, or at different times, after which a fingerprint is refused.
    std::size_t refuse_after = 3;
    /// Reports about one upstream within this time are one crash, seen by several nodes.
    core::milliseconds same_crash{1500};
    core::milliseconds expiry{60000};
    /// Time within which an upstream must be found down for a broken connection to count.
    core::milliseconds confirm_within{2500};
    /// The oldest fingerprints are forgotten beyond this number.
    std::size_t max_fingerprints = 2000;
};

/// A connection that broke while a request ran. It counts as a crash once the upstream is found to be down.
struct broken_run {
    std::uint64_t fingerprint = 0;
    std::string upstream;
    core::steady_time at;
};

/// One crash of an upstream that was running a request of the fingerprint.
struct seen_crash {
    std::string upstream;
    core::steady_time at;
};

/// Which requests were running when upstreams crashed. A request that shares an upstream with the culprit is
/// counted too, but only the culprit comes back often enough to be refused.
struct crash_ledger {
    std::map<std::uint64_t, std::vector<seen_crash>> crashes;
    std::vector<broken_run> unconfirmed;
    /// When a request of a fingerprint that had crashes last succeeded: earlier crashes are not its fault.
    std::map<std::uint64_t, core::steady_time> cleared;
};

/// Records a crash; returns whether it was not known.
bool record_crash(crash_ledger& ledger, const crash_ledger_settings& settings, std::uint64_t fingerprint,
                  const std::string& upstream, core::steady_time at);

/// Notes that a connection broke while the request ran.
void note_broken_run(crash_ledger& ledger, const crash_ledger_settings& settings, const broken_run& run);

/// Turns the runs that just broke on this upstream into crashes: it was found to be down or restarted.
/// Returns the fingerprints that are refused from now on.
std::vector<std::uint64_t> confirm_crash(crash_ledger& ledger, const crash_ledger_settings& settings,
                                         const std::string& upstream, core::steady_time now);

/// Clears a fingerprint, because a request of it succeeded.
void clear_fingerprint(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time now);

/// Notes that a request of the fingerprint succeeded elsewhere at this time: what crashed before wasn't its
/// fault.
void note_cleared(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time at);

/// Returns the number of crashes that a fingerprint took part in.
std::size_t crash_count(const crash_ledger& ledger, std::uint64_t fingerprint);

/// Tells whether requests of this fingerprint are refused.
bool is_refused(const crash_ledger& ledger, const crash_ledger_settings& settings, std::uint64_t fingerprint);

/// Forgets old crashes.
void expire_crashes(crash_ledger& ledger, const crash_ledger_settings& settings, core::steady_time now);

} // namespace figspoke::policy
