#pragma once

#include <cstddef>
#include <string_view>

#include "state/journal_shard.h"

namespace figspoke::state {

/// Returns the size of the bytes when encoded as a JSON string, including the quotes.
std::size_t encoded_size(std::string_view bytes);

/// Returns an upper bound on the encoded size of an order record, without its key.
std::size_t encoded_size(const order_record& record);

/// Returns an upper bound on the encoded size of a charge.
std::size_t encoded_size(const charge& value);

/// Returns an upper bound on the encoded size of a shard, in bytes.
std::size_t estimate_bytes(const journal_shard& shard);

/// Upper bound on the encoded size of a charged key or of the key of an order record.
inline constexpr std::size_t key_bytes = 64;

/// Upper bound on the encoded size of a writer's progress, without its name, and of one range.
inline constexpr std::size_t progress_bytes = 64;
inline constexpr std::size_t range_bytes = 48;

/// Upper bound on the encoded size of an account's totals, without its name.
inline constexpr std::size_t total_bytes = 112;

} // namespace figspoke::state
