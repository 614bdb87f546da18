#include "state/journal_key.h"

#include "core/hash.h"

namespace figspoke::state {

std::string idempotency_id(std::string_view account, std::string_view key) {
    // The length prefix distinguishes ("a", "bc") from ("ab", "c"). 128 bits of SHA-256 rule out accidental
    // collisions and keep the records of a shard small.
    std::string text = std::to_string(account.size());
    text.append(":").append(account).append(key);
    return core::sha256_hex(text).substr(0, 32);
}

std::uint32_t shard_of(std::string_view id, std::uint32_t shard_count) {
    return static_cast<std::uint32_t>(core::stable_hash(id) % shard_count);
}

} // namespace figspoke::state
