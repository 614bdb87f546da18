#include "policy/subset_count.h"

namespace figspoke::policy {

std::size_t subset_count(std::size_t upstreams, std::size_t users, std::size_t min_size) {
    std::size_t subsets = 1;
    // The upstreams of a subset without a user would be idle.
    while (subsets * 2 * min_size <= upstreams && subsets * 2 <= users) {
        subsets *= 2;
    }
    return subsets;
}

} // namespace figspoke::policy
