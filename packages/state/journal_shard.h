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

/// Largest value that the key-value service accepts, in bytes.
inline constexpr std::size_t max_value_bytes = 1'048'576;

/// Number of recent batch ids that a shard keeps. With them, a writer whose reply was lost can tell whether
/// its batch was written even after other batches followed.
inline constexpr std::size_t max_recent_batches = 8;

/// State of an order. A `refused` order did not run; an `unknown` one may have run.
enum class order_state { claimed, completed, refused, unknown };

/// Record of one order that must run at most once, stored under its `idempotency_id`.
struct order_record {
    std::string account;
    /// Fingerprint of the request body; a repeat with another body is rejected.
    std::string body_sha256;
    /// The request that claimed the order.
    std::string request_id;
    /// Incarnation of the node that claimed the order.
    std::string claimant;
    order_state state = order_state::claimed;
    /// The stored response of a completed or refused order.
    int status = 0;
    std::string body;
    /// Whether the body was too large to be stored or was removed to make room.
    bool body_dropped = false;
    /// Shard clock when `state` last changed.
    std::chrono::milliseconds changed_at{0};
};

/// Sequence numbers of one writer that the shard has recorded.
struct writer_progress {
    /// All sequence numbers up to this one are recorded.
    std::uint64_t contiguous = 0;
    /// Recorded ranges above `contiguous` as inclusive first and last numbers, ascending and disjoint.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> beyond;
    /// Shard clock when the last charge was recorded.
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

/// Contents of one journal shard, stored as one value of the key-value service.
struct journal_shard {
    std::uint64_t epoch = 0;
    /// Incarnation of the node that owns the shard.
    std::string owner;
    /// Total time that owners measured while they owned the shard; see `advance_shard_clock`.
    std::chrono::milliseconds clock{0};
    /// Ids of the last batches, newest last. Every write of the value adds one id.
    std::vector<std::string> batch_ids;
    /// The number of the next ledger page to be written.
    std::uint64_t next_page = 1;
    /// Keyed by `idempotency_id`.
    std::map<std::string, order_record> orders;
    /// Open charges, which belong to no page of the ledger yet, oldest first. Charges are only appended at
    /// the end and only removed when `next_page` advances.
    std::vector<charge> charges;
    /// Keyed by the writer's incarnation.
    std::map<std::string, writer_progress> writers;
    /// Keyed by account.
    std::map<std::string, account_total> totals;
    /// Keys that were charged (`charge::key_id`), each with the shard clock when it was charged.
    std::map<std::string, std::chrono::milliseconds> charged_keys;
};

/// Encodes a shard as the text that is stored in the key-value service.
std::string encode_shard(const journal_shard& value);

/// Decodes a shard; fails with `internal` and names the invalid field.
core::result<journal_shard> decode_shard(std::string_view text);

} // namespace figspoke::state
