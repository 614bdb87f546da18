#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "state/store_position.h"

namespace figspoke::state {

/// One key of a document in the store, with its value.
struct document_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    /// The writer's own version of the value, which rises even if the store comes back from an older copy.
    /// Empty if the value has none or can't be read.
    std::optional<std::uint64_t> version;
    /// The store has an older value of the key, or none, since it came back from an older copy.
    bool kept = false;
};

/// The keys below one prefix of the store, as returned by one read.
struct document_content {
    std::vector<document_item> items;
    /// Position of the store at the read.
    store_position at;
    /// Hash of the relevant parts of the items; equal contents have equal hashes.
    std::uint64_t hash = 0;
};

/// A document that one node reads from the store and its peers copy from it.
struct shared_document {
    std::optional<document_content> content;
    /// A time at which the content was certainly compared with the store; `steady_time::min()` before the
    /// first read.
    core::steady_time confirmed_at = core::steady_time::min();
    /// Like `confirmed_at`, but a store that lacks the version in force confirms it only until `grace_until`.
    core::steady_time current_at = core::steady_time::min();
    /// End of the time in which writers write again what the store lost when it came back from an older copy.
    core::steady_time grace_until = core::steady_time::min();
    /// Revision of the first content of the present era.
    std::uint64_t first_revision = 0;
    /// Whether items without a version are kept until then if the store lacks them.
    bool keeps_items = false;
    /// Hashes of the latest contents that were compared with this one, so that each is fetched only once.
    std::vector<std::uint64_t> compared;
};

/// What a peer's heartbeat message reports of its copy. `at` is the default position if the peer has no copy.
struct document_claim {
    store_position at;
    std::uint64_t hash = 0;
    /// Age of the peer's confirmation when it sent the message.
    core::milliseconds age{0};
};

/// A timestamp of this node that a peer echoed.
struct clock_echo {
    /// When this node sent the timestamp, on its own clock.
    core::steady_time sent_at{};
    /// How long the peer held the timestamp before it sent the message.
    core::milliseconds hold_time{0};
};

/// How a peer's claim compares with the receiver's copy.
enum class claim_verdict {
    /// The peer has the same content, and its confirmation is newer: the receiver adopted it.
    confirmed,
    /// The peer's content is newer or holds a newer version; the receiver should fetch it.
    newer,
    /// The peer's content is older, or its confirmation is no newer.
    no_change
};

/// Returns the hash of the keys, values and revisions of items.
std::uint64_t hash_items(const std::vector<document_item>& items);

/// Returns the items with those of `other` that have a higher version, or whose version is the only one of
/// their key. These are marked as kept.
std::vector<document_item> keep_newer_items(std::vector<document_item> items,
                                            const std::vector<document_item>& other);

/// Adopts content that a peer sent, by its position in the store; `confirmed_at` and `current_at` are those
/// of the peer. Older content is ignored, but an item never goes back to a lower version, whatever the
/// positions: what a writer wrote outlives the return of the store from an older copy. Returns whether the
/// content in force has changed.
bool adopt_content(shared_document& document, const document_content& content, core::steady_time confirmed_at,
                   core::steady_time current_at = core::steady_time::min());

/// Adopts content that this node read from the store. Items that it lacks, or of which it has an older
/// revision, are kept until `grace_until`.
bool adopt_read(shared_document& document, const document_content& content, core::steady_time confirmed_at);

/// Returns the latest revision of an item.
std::uint64_t latest_revision(const document_content& content);

/// Takes over the items of a content with the same hash and era if they have later revisions. Returns whether
/// it did; the content in force is the same.
bool refresh_items(shared_document& document, const document_content& content);

/// Records that the content of a claim was fetched and compared.
void record_compared(shared_document& document, std::uint64_t hash);

/// Begins the time in which writers write again what the store has lost.
void begin_grace(shared_document& document, core::steady_time now, core::milliseconds grace);

/// Compares a peer's claim with the document and merges its confirmation. The echo gives a lower bound of the
/// time of the peer's confirmation on this node's clock, so that a message that was delayed in a queue
/// doesn't look fresh.
claim_verdict merge_claim(shared_document& document, const document_claim& claim, const clock_echo& echo,
                          core::steady_time now);

/// Returns the earliest possible time of a claim's confirmation, on this node's clock.
core::steady_time earliest_confirmation(const document_claim& claim, const clock_echo& echo);

/// When nodes read a document from the store.
struct read_schedule {
    /// Interval between the reads of the first node.
    core::milliseconds interval{800};
    /// Time beyond the interval after which the second node reads too, if no confirmation has arrived.
    core::milliseconds takeover_delay{250};
    /// Additional time for each further node, added at most `max_takeover_steps` times.
    core::milliseconds takeover_step{150};
    int max_takeover_steps = 3;
};

/// Returns when the node with this rank among the live members (0 is the first) reads next, unless a newer
/// confirmation arrives before.
core::steady_time next_read_time(const shared_document& document, const read_schedule& schedule,
                                 std::size_t rank);

} // namespace figspoke::state
