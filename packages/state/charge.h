#pragma once

#include <cstdint>
#include <string>

namespace figspoke::state {

/// One billed request. The writer and its sequence identify the charge in its shard.
struct charge {
    /// The request id.
    std::string id;
    std::string account;
    /// `idempotency_id` of the account and the caller's key; empty where the caller gave no key.
    std::string key_id;
    /// The version that produced the response, `name@version`, or the name of the service.
    std::string version;
    std::int64_t prompt_tokens = 0;
    std::int64_t generated_tokens = 0;
    /// What the account is billed, in millionths of the currency unit.
    std::int64_t micros = 0;
    /// What all steps of a cascade cost, in millionths of the currency unit.
    std::int64_t internal_micros = 0;
    /// The serving node's incarnation, unique across nodes and restarts.
    std::string writer;
    /// Counts the writer's charges in one shard from 1.
    std::uint64_t sequence = 0;
    /// Whether the caller cancelled; the charge covers what was generated.
    bool cancelled = false;
};

} // namespace figspoke::state
