#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// What happened to a request.
enum class crash_event_kind {
    /// Its upstream crashed while it ran there in normal mode, so that other requests may be the cause.
    concurrent,
    /// Its upstream crashed while it ran there alone.
    alone,
    /// It finished while it ran alone.
    passed_alone
};

/// An observation by one node. Events form a grow-only set with expiry, so that merging them in any order and
/// any number of times gives the same result.
struct crash_event {
    /// Node id and incarnation.
    std::string source;
    /// Number of the event at its source.
    std::uint64_t sequence = 0;
    crash_event_kind kind = crash_event_kind::concurrent;
    std::string fingerprint;
    std::string upstream;
    /// Time since the event, as known to the sender; used only in messages between nodes.
    core::nanoseconds age{0};
    /// Number of the crash among those of the upstream: one more than the source knew of when it sent the
    /// request there. A request that was sent after a crash was known can't be part of that crash.
    std::uint64_t crash = 0;
};

struct crash_settings {
    /// Attributed crashes at which a fingerprint is refused.
    int refusal_threshold = 2;
    std::chrono::seconds expiry{600};
    std::size_t max_events = 4096;
    /// Events with the same upstream and crash number belong to one crash if they are no further apart. It
    /// covers the time between the connection errors of several nodes and the delay of the mesh.
    std::chrono::milliseconds same_crash_window{2000};
};

/// Crash events that a node knows.
struct crash_suspects {
    using event_id = std::pair<std::string, std::uint64_t>;
    struct stored_event {
        crash_event event;
        core::steady_time at;
    };
    crash_settings settings;
    std::uint64_t last_sequence = 0;
    std::map<event_id, stored_event> events;
    std::multimap<std::string, event_id> by_fingerprint;
};

/// A request in flight on an upstream, which may be the cause if the upstream crashes.
struct in_flight_request {
    std::string fingerprint;
    bool alone = false;
    /// `crashes_seen` of the upstream when the request was sent.
    std::uint64_t crashes_seen = 0;
};

/// How a request may run.
enum class run_mode { normal, alone, refused };

/// Returns the fingerprint of a request: the SHA-256 of account and body.
std::string crash_fingerprint(std::string_view account, std::string_view body);

/// Returns the highest number of a known crash of the upstream, or 0.
std::uint64_t crashes_seen(const crash_suspects& suspects, const std::string& upstream);

/// Records that an upstream crashed while these requests of this node were running on it.
void record_crash(crash_suspects& suspects, const std::string& source, const std::string& upstream,
                  const std::vector<in_flight_request>& running, core::steady_time now);

/// Records that a suspect finished while it ran alone, which clears it.
void record_passed_alone(crash_suspects& suspects, const std::string& source, const std::string& fingerprint,
                         core::steady_time now);

/// Returns how a request with this fingerprint may run. A crash is attributed to a request that ran alone,
/// unless an event says that another request, not cleared since, ran alone in the same crash.
run_mode run_mode_of(const crash_suspects& suspects, const std::string& fingerprint, core::steady_time now);

/// Returns the number of crashes that are attributed to the fingerprint.
int attributed_crashes(const crash_suspects& suspects, const std::string& fingerprint, core::steady_time now);

/// Returns the events for other nodes, with their ages.
std::vector<crash_event> export_events(const crash_suspects& suspects, core::steady_time now);

/// Adds the events of another node; known and expired ones are ignored.
void merge_events(crash_suspects& suspects, const std::vector<crash_event>& events, core::steady_time now);

/// Drops expired events.
void expire_events(crash_suspects& suspects, core::steady_time now);

} // namespace figspoke::policy
