#include "policy/slice_count.h"

namespace figspoke::policy {

std::size_t slice_count(std::size_t upstreams, std::size_t users, std::size_t least) {
    std::size_t slices = 1;
    // Every slice needs a user: a slice without one would leave its upstreams idle.
    while (slices * 2 * least <= upstreams && slices * 2 <= users) {
        slices *= 2;
    }
    return slices;
}

} // namespace figspoke::policy
