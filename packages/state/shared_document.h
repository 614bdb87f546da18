#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::state {

/// One key of a document in the store.
struct document_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// The keys below one prefix of the store, as one read saw them.
struct document_content {
    std::vector<document_item> items;
    /// Revision of the store at which the read saw them.
    std::uint64_t at = 0;
    /// Hash of what matters in the items; equal contents have equal hashes.
    std::uint64_t hash = 0;
};

/// A document that one node reads from the store and its peers take over.
struct shared_document {
    std::optional<document_content> content;
    /// The moment at which the content was certainly current; `steady_time::min()` before the first read.
    core::steady_time confirmed_at = core::steady_time::min();
};

/// What a peer says of its copy, as it travels in a beat.
struct document_claim {
    std::uint64_t at = 0;
    std::uint64_t hash = 0;
    /// Age of the peer's confirmation when it sent the beat.
    core::milliseconds age{0};
};

/// The receiver's own clock as its peer echoed it.
struct clock_echo {
    /// When this node sent the stamp that came back.
    core::steady_time stamp{};
    /// How long the peer held the stamp before it sent the beat.
    core::milliseconds held{0};
};

/// What a claim means for the receiver.
enum class claim_verdict {
    /// The peer has the same content: its confirmation counts.
    confirmed,
    /// The peer's content is newer: fetch it.
    newer,
    /// The peer's content is older, or nothing new follows.
    nothing
};

/// Takes over content that a read or a peer brought. Content of an older revision than the known one is
/// refused, since a configuration never goes back. Returns whether the content changed.
bool take_content(shared_document& document, const document_content& content, core::steady_time confirmed_at);

/// Judges a peer's claim and merges its confirmation. The moment of a confirmation at a peer is bounded from
/// below on this node's clock by the echo, so that a beat that waited in a queue doesn't look fresh.
claim_verdict merge_claim(shared_document& document, const document_claim& claim, const clock_echo& echo,
                          core::steady_time now);

/// Returns the earliest possible moment of the confirmation of a claim.
core::steady_time earliest_confirmation(const document_claim& claim, const clock_echo& echo);

/// When nodes read a document by themselves.
struct reading_schedule {
    /// Interval of the reads of the first node.
    core::milliseconds interval{800};
    /// Age of the confirmation at which the second node reads as well, beyond the interval.
    core::milliseconds patience{250};
    /// Further time for each following node, up to `max_steps` of them.
    core::milliseconds step{150};
    int max_steps = 3;
};

/// Returns when the node of this rank among the live members (0 is the first) reads next, if no newer
/// confirmation arrives until then.
core::steady_time next_read(const shared_document& document, const reading_schedule& schedule,
                            std::size_t rank);

} // namespace figspoke::state
