#pragma once

#include <cstddef>

namespace figspoke::policy {

/// Returns into how many slices a number of upstreams is cut, so that each has at least `least` of them and
/// one of the `users` for itself. A power of two, so that it rarely changes as upstreams come and go.
std::size_t slice_count(std::size_t upstreams, std::size_t users, std::size_t least);

} // namespace figspoke::policy
