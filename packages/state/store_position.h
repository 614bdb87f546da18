#pragma once

#include <cstdint>
#include <optional>

namespace figspoke::state {

/// A span in which the store loses nothing that it has acknowledged. It ends when the store comes back from
/// an older copy: revisions then go back and are given out again.
struct store_era {
    /// The number that the store states in its answers; 0 if it states none.
    std::uint16_t stated = 0;
    /// Returns that nodes have detected since then although the stated number stayed the same.
    std::uint8_t detected = 0;
};

bool operator==(const store_era& a, const store_era& b);
bool operator!=(const store_era& a, const store_era& b);
bool operator<(const store_era& a, const store_era& b);

/// A revision of the store. Revisions of different eras can't be compared without their eras.
struct store_position {
    store_era era;
    std::uint64_t revision = 0;
};

bool operator==(const store_position& a, const store_position& b);
bool operator!=(const store_position& a, const store_position& b);
bool operator<(const store_position& a, const store_position& b);

/// Largest revision that a packed position can hold.
inline constexpr std::uint64_t max_packed_revision = (std::uint64_t(1) << 40) - 1;

/// Packs a position into one number that has the same order. In the first era it equals the revision, which
/// is what releases without eras exchange. A larger revision than `max_packed_revision` is packed as that.
std::uint64_t pack_position(const store_position& position);
store_position unpack_position(std::uint64_t packed);

/// What a node makes of an answer of the store, by the position that it knew when it sent the call.
enum class answer_age {
    /// The store is in the era that the node knows.
    same_era,
    /// The store has come back from an older copy.
    new_era,
    /// The answer is older than what the node knew when it called.
    outdated
};

/// The era of an answer, and how it compares with the known one.
struct answer_era {
    answer_age age = answer_age::same_era;
    store_era era;
};

/// Answers in a row that state a lower era than was known when their calls were sent.
struct lower_statements {
    int in_a_row = 0;
};

/// Returns the era that an answer states, or nothing if the store goes on stating a lower one than was known
/// when the calls were sent: such answers aren't late, and what the store states is wrong.
std::optional<std::uint16_t> accept_statement(lower_statements& lower, const store_position& known_when_sent,
                                              std::optional<std::uint16_t> stated);

/// Raises the known position to one that was seen. Returns whether that shows that the store has come back
/// from an older copy, which the first position doesn't.
bool raise_position(store_position& known, const store_position& seen);

/// Classifies an answer. `known` is the highest position that the node knew when it sent the call, and
/// `stated` the era that the answer states. `revision` is the store's revision in the answer; empty if it
/// names none.
answer_era classify_answer(const store_position& known, std::optional<std::uint16_t> stated,
                           std::optional<std::uint64_t> revision);

/// Like `classify_answer`, for an answer that arrives when `known_now` is known: it is outdated if the store
/// has come back since the call was sent and the answer is of the era before.
answer_era classify_arrival(const store_position& known_when_sent, const store_position& known_now,
                            std::optional<std::uint16_t> stated, std::optional<std::uint64_t> revision);

} // namespace figspoke::state
