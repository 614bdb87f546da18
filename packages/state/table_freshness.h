#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/time.h"
#include "state/membership.h"
#include "state/roster.h"

namespace figspoke::state {

/// Greatest age at which a table counts as fresh.
inline constexpr core::milliseconds max_fresh_table_age{3000};

/// Time without a new heartbeat after which a member no longer delays the acceptance of an edit.
inline constexpr core::milliseconds unreachable_timeout{4000};

/// How recently this node's table was known to be current. All revisions here and in digests are packed
/// positions (state/store_position.h): the table's revision below the number of times that nodes found the
/// key-value service back at an older copy. Without such a return they equal the table's revision.
struct table_freshness {
    /// Revision in effect at this node. It never decreases.
    std::uint64_t revision = 0;
    /// Highest revision that a peer told of. It was stored before the peer told of it.
    std::uint64_t peer_revision = 0;
    /// A time on this node's clock at which no revision above `revision` existed.
    std::optional<core::steady_time> current_as_of;
    /// When this node's last own read of the key-value service began.
    std::optional<core::steady_time> read_at;
};

/// Returns the packed position of a table that was read from the key-value service. `known` is the highest
/// position that the node knew when it sent the read, and `same_content` is false if the node knows another
/// table at that position. A lower revision, or another table at the same one, starts a new era: the service
/// came back from an older copy.
std::uint64_t position_of_read(std::uint64_t known, std::uint64_t revision, bool same_content);

/// Returns whether two packed positions are of one era.
bool is_same_era(std::uint64_t a, std::uint64_t b);

/// Returns whether the node should read the key-value service itself rather than take a peer's table at
/// `peer_revision`: the peer's is of a later era, and the node's own table comes from a read that may have
/// begun in that era too and have returned a newer table.
bool prefers_own_read(const table_freshness& freshness, std::uint64_t peer_revision, core::steady_time now);

/// Records a read of the key-value service that began at `requested_at` and returned `revision`.
void record_table_read(table_freshness& freshness, std::uint64_t revision, core::steady_time requested_at);

/// Records that a peer, in reply to a request sent at `requested_at`, had the table at `revision` with this
/// age. Ignored if the peer's revision is above the one in effect at this node, or of an earlier era.
void record_peer_table_age(table_freshness& freshness, std::uint64_t revision, core::milliseconds age,
                           core::steady_time requested_at);

/// Raises the revision in effect, for example to that of a table pushed by the mesh. Returns false for a
/// lower or equal revision, whose table must not be applied.
bool raise_revision(table_freshness& freshness, std::uint64_t revision);

/// Returns an upper bound of the table's age; empty if the table was never known to be current.
std::optional<core::milliseconds> table_age(const table_freshness& freshness, core::steady_time now);

enum class service_decision {
    /// The table is fresh.
    serve_fresh,
    /// The table is not fresh, as when the key-value service is down for all nodes, but this side of a
    /// possible partition has the majority.
    serve_majority,
    /// The node refuses new work as not run.
    isolated,
};

/// Decides whether this node serves. Observations from before `view.valid_since` don't count.
service_decision decide_service(const table_freshness& freshness, const majority_view& view,
                                core::steady_time now);

/// Returns whether the edit that created `revision` is accepted: each member has confirmed it, or is
/// unreachable while this side has the majority. `stored_at` is when the CAS returned, on this node's clock.
bool is_edit_accepted(std::uint64_t revision, core::steady_time stored_at, const majority_view& view,
                      core::steady_time now);

/// The numbered requests for a peer's table age on one link.
struct table_age_requests {
    std::uint64_t last_number = 0;
    /// Number and sending time of each unanswered request, oldest first.
    std::deque<std::pair<std::uint64_t, core::steady_time>> pending;
};

/// Records a request that is sent now and returns its number.
std::uint64_t begin_age_request(table_age_requests& requests, core::steady_time now);

/// Returns when request `number` was sent and forgets older requests; empty if the request is unknown.
std::optional<core::steady_time> find_request_time(table_age_requests& requests, std::uint64_t number);

} // namespace figspoke::state
