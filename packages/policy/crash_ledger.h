#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

struct crash_ledger_settings {
    /// Number of crashes, on different upstreams or at different times, after which requests with a
    /// fingerprint are refused unless other requests explain the crashes.
    std::size_t refuse_after = 3;
    /// Reports about one upstream within this time are the same crash, reported by several nodes.
    core::milliseconds same_crash_window{1500};
    /// Number of crashes from which requests are refused for good. With fewer, one runs again now and then:
    /// the cause may have gone unseen with a node that died, and a sound part of many requests was taken for
    /// it.
    std::size_t certain_after = 4;
    /// Time since the latest crash after which a request may run again.
    core::milliseconds trial_delay{3000};
    /// Time since a fingerprint's latest crash, or since it was cleared, after which the record is removed.
    core::milliseconds expiry{60000};
    /// The same for a fingerprint with `refuse_after` crashes or more. None of its requests runs any more, so
    /// no new crash keeps the record alive, and each expiry costs that many upstreams again.
    core::milliseconds refused_expiry{600000};
    /// Number of latest crashes that are kept of one fingerprint.
    std::size_t max_crashes = 8;
    /// Longest time between a broken connection and the detection that the upstream is down for the two to
    /// count as one crash.
    core::milliseconds confirmation_window{2500};
    /// The same for a connection that the node itself closed: an upstream crashes some tens of milliseconds
    /// after it has begun an answer, whether or not the caller still waits.
    core::milliseconds closed_window{500};
    /// Time after a broken connection from which an accepted one shows that the upstream did not crash. The
    /// sockets of a process that crashes close one after the other, and the listening one not always first.
    core::milliseconds survival_time{100};
    /// Beyond this number, the fingerprint with the fewest crashes whose latest crash is the oldest is
    /// removed. Enough for the requests on a few upstreams, each with a prompt of a thousand parts.
    std::size_t max_fingerprints = 16384;
    /// Maximum number of parts of a prompt that are told apart, more than a head of 16 KB can name.
    std::size_t max_parts = 4096;
};

/// The fingerprints of one request: that of the whole request, and one for each part that it shares with
/// other requests. Either may be what crashes upstreams.
using request_fingerprints = std::vector<std::uint64_t>;

/// Returns the fingerprints of a request, of which `request` identifies the whole, and `shared_parts` are the
/// ids of the parts that it shares. Every part is told apart, whatever its place, up to
/// `settings.max_parts` of them; a part without an id is none.
request_fingerprints make_fingerprints(std::uint64_t request,
                                       const std::vector<std::string_view>& shared_parts,
                                       const crash_ledger_settings& settings);

/// The end of a connection while a request ran.
struct broken_send {
    std::string upstream;
    core::steady_time at;
    /// The node closed the connection itself.
    bool closed_here = false;
};

/// A broken send of a request. It counts as a crash once the upstream is found to be down.
struct unconfirmed_crash {
    request_fingerprints fingerprints;
    broken_send send;
};

/// A crash of an upstream that was running a request with the fingerprint.
struct confirmed_crash {
    std::string upstream;
    core::steady_time at;
};

/// Importance of a fingerprint in a ledger: the number of its crashes, then the time of the latest.
struct crash_rank {
    std::size_t crashes = 0;
    core::steady_time latest;
    std::uint64_t fingerprint = 0;
};

bool operator<(const crash_rank& a, const crash_rank& b);

/// Records which requests and parts of requests, identified by fingerprint, were running when upstreams
/// crashed. Requests that share an upstream with the one that caused the crash are counted too; they are told
/// apart by their successes and because the cause takes part in more crashes than they do.
///
/// Its members are changed by the functions below only, which keep them consistent.
struct crash_ledger {
    std::map<std::uint64_t, std::vector<confirmed_crash>> crashes;
    /// The fingerprints of `crashes` in order of importance, so that each use of the ledger takes time for
    /// those that it needs, not for all.
    std::set<crash_rank> ranks;
    std::deque<unconfirmed_crash> unconfirmed;
    /// Number of fingerprints in `unconfirmed`, of all sends together.
    std::size_t unconfirmed_fingerprints = 0;
    /// Time of the latest success of a fingerprint that had crashes. Crashes up to then are not counted.
    std::map<std::uint64_t, core::steady_time> cleared;
    /// Rises with each change of `crashes`.
    std::uint64_t changes = 0;
};

/// Records a crash. Returns false where it was known already, or happened before the fingerprint was
/// cleared.
bool record_crash(crash_ledger& ledger, const crash_ledger_settings& settings, std::uint64_t fingerprint,
                  const std::string& upstream, core::steady_time at);

/// Records that a connection broke while a request ran. Beyond `settings.max_fingerprints` of all recorded
/// sends together, the oldest are removed.
void record_broken_send(crash_ledger& ledger, const crash_ledger_settings& settings,
                        const request_fingerprints& request, const broken_send& send);

/// Records the recent unconfirmed crashes of this upstream as crashes, because it was found to be down or
/// restarted at `crashed_at`. Returns the fingerprints that took part in `settings.refuse_after` crashes or
/// more by now.
std::vector<std::uint64_t> confirm_crash(crash_ledger& ledger, const crash_ledger_settings& settings,
                                         const std::string& upstream, core::steady_time crashed_at);

/// Removes the unconfirmed crashes of an upstream up to a time at which it was found to be running.
void discard_unconfirmed_crashes(crash_ledger& ledger, const std::string& upstream, core::steady_time until);

/// Records that an upstream accepted a connection: removes the unconfirmed crashes that it has survived by
/// then. Returns whether it broke off others itself, of which only a later connection can tell.
bool record_accepted_connection(crash_ledger& ledger, const crash_ledger_settings& settings,
                                const std::string& upstream, core::steady_time at);

/// Removes the crashes of a fingerprint, because one of its requests succeeded on this node. Earlier crashes
/// that are reported later are ignored.
void clear_fingerprint(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time now);

/// Removes the crashes of a fingerprint up to the time at which one of its requests succeeded on another
/// node. Earlier crashes that are reported later are ignored.
void clear_crashes_until(crash_ledger& ledger, std::uint64_t fingerprint, core::steady_time at);

/// Returns the number of crashes that are recorded for a fingerprint.
std::size_t crash_count(const crash_ledger& ledger, std::uint64_t fingerprint);

/// Returns the ranks of the fingerprints with so many crashes whose latest crash was at `since` or later, the
/// latest first.
std::vector<crash_rank> ranks_with(const crash_ledger& ledger, std::size_t crashes, core::steady_time since);

/// Returns whether a request is refused: one of its fingerprints took part in `settings.refuse_after` crashes
/// for which no fingerprint of other requests, with as many crashes or more, is a cause as likely.
bool is_refused(const crash_ledger& ledger, const crash_ledger_settings& settings,
                const request_fingerprints& request);

/// Returns the fingerprints whose crashes no other one explains better, those with the most crashes first and
/// at most `most` of them. They must be kept to refuse the same requests as now. Several that always come
/// together may explain their crashes equally well.
std::vector<std::uint64_t> likely_causes(const crash_ledger& ledger, const crash_ledger_settings& settings,
                                         std::size_t most);

/// Returns the time from which a request that is refused may run once to show whether it is the cause; empty
/// if that is certain.
std::optional<core::steady_time> next_trial_time(const crash_ledger& ledger,
                                                 const crash_ledger_settings& settings,
                                                 const request_fingerprints& request);

/// Removes crashes and cleared fingerprints that have expired, and the oldest cleared fingerprints beyond
/// `settings.max_fingerprints`.
void expire_crashes(crash_ledger& ledger, const crash_ledger_settings& settings, core::steady_time now);

} // namespace figspoke::policy
