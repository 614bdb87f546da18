#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/time.h"
#include "state/store_position.h"

namespace figspoke::policy {

/// An operator's order to roll out another version of a service.
struct rollout_order {
    std::string service;
    std::string target;
    core::seconds duration{0};
    /// Where the order stands in the store; a later order for the same service has a higher position. The
    /// default if it was written before the store came back from a copy that lacks it.
    state::store_position position;
};

/// What an order that was read means for one that is known.
enum class order_change {
    /// The known order stays as it is.
    none,
    /// It is the known order, which stands in another copy of the store or was written again.
    continued,
    /// It is a new order.
    replaced
};

/// Compares an order with the known one of the same service. In one era of the store a later position is a
/// new order. After the store has come back from an older copy, the same order is written again with any
/// revision.
order_change compare_orders(const rollout_order& known, const rollout_order& read);

/// The order that a stored status names.
struct status_order {
    std::string target;
    std::uint64_t revision = 0;
    /// Empty if the writer knew of no eras.
    std::optional<state::store_era> era;
};

/// Returns whether a stored status belongs to an order. One of an earlier era does if it names the same
/// target, since the order was written again under another revision.
bool belongs_to(const status_order& status, const rollout_order& order);

/// Returns whether a stored status names an order under its present position.
bool names_position(const status_order& status, const rollout_order& order);

} // namespace figspoke::policy
