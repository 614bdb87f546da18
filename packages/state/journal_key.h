#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace figspoke::state {

/// The default number of journal shards.
inline constexpr std::uint32_t default_shard_count = 16;

/// Returns the identity of an account's idempotency key: 32 hexadecimal digits whatever the key's length
/// and bytes.
std::string idempotency_id(std::string_view account, std::string_view key);

/// Returns the shard of an `idempotency_id`, or of a request id where the caller gave no key.
std::uint32_t shard_of(std::string_view id, std::uint32_t shard_count);

} // namespace figspoke::state
