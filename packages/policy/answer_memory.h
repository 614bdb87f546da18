#pragma once

#include <cstddef>

namespace figspoke::policy {

/// Returns the bytes that the head of an answer takes from the budget, given its length. The memory of its
/// caller's connection covers a short one.
std::size_t memory_of_head(std::size_t length);

/// Returns the bytes that the part of a body that is held takes from the budget. The memory of its caller's
/// connection covers a short one.
std::size_t memory_of_body(std::size_t length);

} // namespace figspoke::policy
