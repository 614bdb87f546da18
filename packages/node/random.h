#pragma once

namespace figspoke::node {

/// Returns a random number in [0, 1) from a generator of the calling thread.
double random_unit();

} // namespace figspoke::node
