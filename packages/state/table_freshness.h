#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/time.h"
#include "state/membership.h"
#include "state/roster.h"

namespace figspoke::state {

/// A table no older than this is fresh.
inline constexpr core::milliseconds fresh_table_age{3000};

/// A member that is silent for this long doesn't hold up the acceptance of an edit.
inline constexpr core::milliseconds unreachable_after{4000};

/// How recently this node's table was known to be the current one.
struct table_freshness {
    /// Revision in effect here. It never goes down.
    std::uint64_t revision = 0;
    /// A time on this node's clock at which no revision above `revision` existed.
    std::optional<core::steady_time> current_at;
};

/// Records a read of the key-value service that was begun at `asked_at` and returned `revision`.
void note_table_read(table_freshness& freshness, std::uint64_t revision, core::steady_time asked_at);

/// Records that a peer, asked at `asked_at`, had the table at `revision` with this age. It counts only where
/// this node has that revision in effect.
void note_peer_age(table_freshness& freshness, std::uint64_t revision, core::milliseconds age,
                   core::steady_time asked_at);

/// Raises the revision in effect, for example from a table pushed by the mesh. Returns false for a lower or
/// equal one, which must not be applied.
bool raise_revision(table_freshness& freshness, std::uint64_t revision);

/// An upper bound of the table's age; empty where it was never known to be current.
std::optional<core::milliseconds> table_age(const table_freshness& freshness, core::steady_time now);

enum class service_decision {
    /// The table is fresh.
    serve_fresh,
    /// The key-value service may be down for everyone; this side holds the majority.
    serve_majority,
    /// Refuse new work as not run.
    isolated,
};

/// Decides whether this node serves. What was learned before `view.since` doesn't count.
service_decision decide_service(const table_freshness& freshness, const majority_view& view,
                                core::steady_time now);

/// Tells whether the edit that made `revision` and was stored at `stored_at` (on this node's clock, when the
/// CAS returned) is accepted: each member has confirmed it, or is unreachable from this majority side.
bool is_edit_accepted(std::uint64_t revision, core::steady_time stored_at, const majority_view& view,
                      core::steady_time now);

/// The numbered questions for a peer's table age on one link.
struct age_asks {
    std::uint64_t last = 0;
    /// When each unanswered question was sent, by number, oldest first.
    std::deque<std::pair<std::uint64_t, core::steady_time>> sent;
};

/// Numbers a question that is sent now.
std::uint64_t ask_age(age_asks& asks, core::steady_time now);

/// Returns when question `number` was sent and forgets older ones; empty where it is not known.
std::optional<core::steady_time> asked_at(age_asks& asks, std::uint64_t number);

} // namespace figspoke::state
