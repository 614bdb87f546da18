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

/// Claims an order for one request, before the first byte is sent to the upstream.
struct order_claim {
    /// `idempotency_id` of the account and the caller's idempotency key.
    std::string order_id;
    std::string account;
    std::string body_sha256;
    /// Unique for each request; a repeat by the caller has another id.
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
    /// `completed`, `refused` (the order did not run) or `unknown`.
    order_state state = order_state::unknown;
    int status = 0;
    std::string body;
};

using journal_entry = std::variant<order_claim, order_result, charge>;

/// The shard's decision on an entry.
enum class entry_outcome {
    /// The entry is now recorded. The claimant of an order may dispatch it. If the claimant has already
    /// abandoned the request, it must record the order as refused; otherwise the key stays in progress.
    applied,
    /// The entry was already recorded. For a claim: the same request holds the claim, and may dispatch the
    /// order if it has not done so yet.
    duplicate,
    /// Claims only: the key was used for a request with another body.
    key_reused,
    /// Claims only: another request holds the claim and its node is alive.
    in_progress,
    /// Claims only: the order has completed; the stored answer is returned.
    completed,
    /// Claims only: it is not known whether the order ran, so it will not be run again.
    outcome_unknown,
    /// Claims only: this request was already recorded as not run and must not dispatch the order.
    refused,
    /// The shard has no room; nothing was recorded.
    backlog_full,
    /// Charges only: the writer has too many gaps in its sequence numbers; nothing was recorded. Its earlier
    /// charges must be appended first.
    sequence_gap,
};

/// Result of applying an entry, with the stored answer of a `completed` order.
struct apply_result {
    entry_outcome outcome = entry_outcome::applied;
    int status = 0;
    std::string body;
    bool body_dropped = false;
    /// Whether the shard changed; the outcome is then valid only after the new value is written.
    bool changed = false;
};

/// Limits on the contents of a shard. The byte limits apply to `estimate_bytes`.
struct shard_limits {
    /// Largest number of claimed orders and open charges together.
    std::size_t max_open_entries = 2000;
    /// Number of charged keys that are kept; the oldest are removed first.
    std::size_t max_charged_keys = 4000;
    std::size_t max_ranges_per_writer = 32;
    /// Largest answer body that is stored, in bytes; of a larger answer only the status is stored.
    std::size_t max_stored_body = std::size_t{16} * 1024;
    /// Claims are refused at a smaller size than charges, and charges at a smaller size than results, so that
    /// the result of a claimed order always has room. Above `claim_bytes`, stored answers are dropped and
    /// pages are sealed early. The data that cannot be dropped is then at most 500 KB of orders, 256 KB of
    /// charged keys and about 60 KB of writers, which leaves room for charges.
    std::size_t claim_bytes = 500'000;
    std::size_t charge_bytes = 900'000;
    std::size_t answer_bytes = 980'000;
};

/// Inputs of `apply_entry` beside the shard; built by `make_apply_context`.
struct apply_context {
    shard_limits limits;
    /// Returns whether a node's incarnation is known to have ended. If empty, none has.
    std::function<bool(std::string_view incarnation)> has_ended;
    /// `estimate_bytes` of the shard and the number of its claimed orders, kept up to date by `apply_entry`.
    std::size_t estimated_bytes = 0;
    std::size_t claimed_orders = 0;
};

/// Builds the context for applying entries to the shard in its current state.
apply_context make_apply_context(const journal_shard& shard, const shard_limits& limits,
                                 std::function<bool(std::string_view incarnation)> has_ended);

/// Returns the outcome of an entry that the shard's records already decide, so that no write is needed;
/// otherwise empty.
std::optional<apply_result> recorded_outcome(const journal_shard& shard, const journal_entry& entry,
                                             const apply_context& context);

/// Applies an entry to the shard. Applying the same entry again changes nothing.
apply_result apply_entry(journal_shard& shard, const journal_entry& entry, apply_context& context);

} // namespace figspoke::state
