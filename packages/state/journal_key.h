#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace figspoke::state {

/// The default number of journal shards.
inline constexpr std::uint32_t default_shard_count = 16;

/// Returns an id of fixed length, 32 hexadecimal digits, for an idempotency key of an account. The key may
/// have any length and any bytes.
std::string idempotency_id(std::string_view account, std::string_view key);

/// Returns the shard that stores an `idempotency_id`, or a request id if the caller gave no key.
std::uint32_t shard_of(std::string_view id, std::uint32_t shard_count);

} // namespace figspoke::state
