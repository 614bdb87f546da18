#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace figspoke::adapters {

/// Compresses bytes with raw deflate.
std::string deflate_bytes(std::string_view bytes);

/// Restores what `deflate_bytes` made; empty where the bytes are something else or more than `most_bytes`
/// come out.
std::optional<std::string> inflate_bytes(std::string_view packed, std::size_t most_bytes);

} // namespace figspoke::adapters
