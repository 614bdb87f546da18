#pragma once

#include <cstddef>

namespace figspoke::policy {

/// Returns the number of subsets into which upstreams are divided among the nodes that use them. Each subset
/// has at least `min_size` upstreams and at least one of the `users`. The number is a power of two, so that
/// it rarely changes as upstreams join and leave.
std::size_t subset_count(std::size_t upstreams, std::size_t users, std::size_t min_size);

} // namespace figspoke::policy
