#pragma once

#include <cstddef>

namespace figspoke::policy {

/// Returns the number of subsets into which upstreams are divided, so that each subset has at least
/// `min_size` upstreams and one of the `users`. It is a power of two, so that it rarely changes as upstreams
/// join and leave.
std::size_t subset_count(std::size_t upstreams, std::size_t users, std::size_t min_size);

} // namespace figspoke::policy
