#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "state/charge.h"
#include "state/journal_shard.h"

namespace figspoke::state {

/// Claims an order for one request before its first byte is sent upstream.
struct order_claim {
    /// `idempotency_id` of the account and the caller's key.
    std::string order_id;
    std::string account;
    std::string body_sha256;
    /// Unique for each request; a repeat by the caller has another one.
    std::string request_id;
    /// Incarnation of the claiming node.
    std::string claimant;
};

/// Records how a claimed order ended.
struct order_result {
    std::string order_id;
    std::string account;
    std::string body_sha256;
    std::string request_id;
    std::string claimant;
    /// `completed`, `refused` (was not run) or `unknown`.
    order_state state = order_state::unknown;
    int status = 0;
    std::string body;
};

using journal_entry = std::variant<order_claim, order_result, charge>;

enum class entry_outcome {
    /// The entry is recorded. The claimant of an order may dispatch it; where it has given the request up, it
    /// must record the order as refused, or the key stays in progress.
    applied,
    /// The entry had been recorded before. For a claim: the same request holds it and may dispatch the order
    /// if it has not done so yet.
    duplicate,
    /// Claims only: the key belongs to a request with another body.
    key_reused,
    /// Claims only: another request holds the claim and its node is alive.
    in_progress,
    /// Claims only: the order is done; the stored answer is given.
    completed,
    /// Claims only: the order may or may not have run and will not run again.
    outcome_unknown,
    /// Claims only: this same request was recorded as not run and must not dispatch.
    refused,
    /// The shard has no room; nothing was recorded.
    backlog_full,
    /// Charges only: the writer has too many gaps in its sequence; nothing was recorded. Earlier charges must
    /// be appended first.
    sequence_gap,
};

/// What became of an entry, with the stored answer of a `completed` order.
struct apply_result {
    entry_outcome outcome = entry_outcome::applied;
    int status = 0;
    std::string body;
    bool body_dropped = false;
    /// Whether the shard was changed, so that the outcome holds only once the value is written.
    bool changed = false;
};

/// Bounds on the contents of a shard. The byte limits are on `estimate_bytes`.
struct shard_limits {
    /// Claimed orders and open charges together.
    std::size_t max_open_entries = 2000;
    /// Keys of charges that are remembered; the oldest are forgotten first.
    std::size_t max_charged_keys = 4000;
    std::size_t max_ranges_per_writer = 32;
    /// A larger stored answer is dropped and only its status is kept.
    std::size_t max_stored_body = std::size_t{16} * 1024;
    /// New claims stop first, then charges, so that the result of a claimed order always has room. Above
    /// `claim_bytes` stored answers are dropped and pages are sealed early. What cannot be dropped is then at
    /// most 500 KB of orders, 256 KB of charged keys and about 60 KB of writers, which leaves charges room.
    std::size_t claim_bytes = 500'000;
    std::size_t charge_bytes = 900'000;
    std::size_t answer_bytes = 980'000;
};

/// What `apply_entry` needs to know beside the shard; `make_apply_context` builds it.
struct apply_context {
    shard_limits limits;
    /// Tells whether a node's incarnation is known to have ended. Empty means that none has.
    std::function<bool(std::string_view incarnation)> is_gone;
    /// `estimate_bytes` of the shard and its number of claimed orders, kept up to date by `apply_entry`.
    std::size_t bytes = 0;
    std::size_t claimed = 0;
};

/// Builds the context for applying entries to the shard in its present state.
apply_context make_apply_context(const journal_shard& shard, const shard_limits& limits,
                                 std::function<bool(std::string_view incarnation)> is_gone);

/// Returns the outcome of an entry that needs no write because the shard decides it already; empty where the
/// entry is not recorded.
std::optional<apply_result> recorded_outcome(const journal_shard& shard, const journal_entry& entry,
                                             const apply_context& context);

/// Applies an entry to the shard. Repeating an entry changes nothing.
apply_result apply_entry(journal_shard& shard, const journal_entry& entry, apply_context& context);

} // namespace figspoke::state
