#pragma once

#include <cstdint>
#include <string>

namespace figspoke::state {

/// One billed request. `writer` and `sequence` identify the charge within its shard.
struct charge {
    /// The request id.
    std::string id;
    std::string account;
    /// `idempotency_id` of the account and the caller's idempotency key; empty if the caller gave no key.
    std::string key_id;
    /// The model version that produced the response, as `name@version`, or the name of the service.
    std::string version;
    std::int64_t prompt_tokens = 0;
    std::int64_t generated_tokens = 0;
    /// Price billed to the account, in millionths of the currency unit.
    std::int64_t micros = 0;
    /// Cost of all steps of a cascade, in millionths of the currency unit.
    std::int64_t internal_micros = 0;
    /// Incarnation of the serving node, unique across nodes and restarts.
    std::string writer;
    /// Position among the writer's charges in one shard, starting at 1.
    std::uint64_t sequence = 0;
    /// Whether the caller cancelled the request; the charge then covers the tokens generated until that
    /// point.
    bool cancelled = false;
};

} // namespace figspoke::state
