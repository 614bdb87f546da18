#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/error.h"
#include "state/charge.h"

namespace figspoke::state {

/// Largest value that the key-value service holds, in bytes.
inline constexpr std::size_t max_value_bytes = 1'048'576;

/// The number of batch ids that a shard keeps, so that a writer can settle a lost reply after others wrote.
inline constexpr std::size_t max_recent_batches = 8;

/// `refused` orders did not run; `unknown` orders may have run.
enum class order_state { claimed, completed, refused, unknown };

/// The record of one order that may not be repeated, stored under its `idempotency_id`.
struct order_record {
    std::string account;
    /// Fingerprint of the request body; a repeat with another one is refused.
    std::string body_sha256;
    /// The request that claimed the order.
    std::string request_id;
    /// Incarnation of the node that claimed the order.
    std::string claimant;
    order_state state = order_state::claimed;
    /// The stored response of a completed or refused order.
    int status = 0;
    std::string body;
    /// Whether the body was too large to be kept or was removed to make room.
    bool body_dropped = false;
    /// Shard clock at the last change of state.
    std::chrono::milliseconds changed_at{0};
};

/// The sequences of one writer that the shard has recorded.
struct writer_progress {
    /// All sequences up to this one are recorded.
    std::uint64_t contiguous = 0;
    /// Recorded ranges above `contiguous`, first and last, ascending and disjoint.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> beyond;
    /// Shard clock at the last recorded charge.
    std::chrono::milliseconds changed_at{0};
};

/// Running totals of one client account; money in millionths of the currency unit.
struct account_total {
    std::int64_t charges = 0;
    std::int64_t micros = 0;
    std::int64_t internal_micros = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t generated_tokens = 0;
};

/// The value of one journal shard.
struct journal_shard {
    std::uint64_t epoch = 0;
    /// Incarnation of the owner.
    std::string owner;
    /// Time that owners have measured while they held the shard; see `advance_shard_clock`.
    std::chrono::milliseconds clock{0};
    /// Ids of the last batches, newest last. Every write of the value adds one.
    std::vector<std::string> batches;
    /// The number of the next ledger page to be written.
    std::uint64_t next_page = 1;
    std::map<std::string, order_record> orders;
    /// Charges that are in no removed page yet, oldest first. Charges are only appended at the end and
    /// only removed when `next_page` advances.
    std::vector<charge> charges;
    std::map<std::string, writer_progress> writers;
    std::map<std::string, account_total> totals;
    /// Keys that were charged (`charge::key_id`), with the shard clock at that time.
    std::map<std::string, std::chrono::milliseconds> charged_keys;
};

/// Encodes a shard as the text that the key-value service holds.
std::string encode_shard(const journal_shard& value);

/// Decodes a shard; fails with `internal`, naming the field.
core::result<journal_shard> decode_shard(std::string_view text);

} // namespace figspoke::state
