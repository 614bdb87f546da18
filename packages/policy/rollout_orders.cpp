#include "policy/rollout_orders.h"

namespace figspoke::policy {

order_change compare_orders(const rollout_order& known, const rollout_order& read) {
    if (!(known.position < read.position)) {
        return order_change::none;
    }
    const bool same = known.target == read.target && known.duration == read.duration;
    return same && known.position.era < read.position.era ? order_change::continued : order_change::replaced;
}

bool belongs_to(const status_order& status, const rollout_order& order) {
    const bool earlier_era = status.era && *status.era < order.position.era;
    return status.target == order.target && (earlier_era || names_position(status, order));
}

bool names_position(const status_order& status, const rollout_order& order) {
    return status.target == order.target && status.revision == order.position.revision &&
           status.era.value_or(order.position.era) == order.position.era;
}

} // namespace figspoke::policy
