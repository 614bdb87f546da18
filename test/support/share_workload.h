#pragma once

#include <random>

#include "support/share_fleet.h"

namespace figspoke::test {

/// Results of callers that ask for three times a limit over all nodes, with a partition in the middle.
struct limit_stats {
    /// Largest spend beyond what one bucket with the whole limit allows, in seconds of the limit.
    double overshoot = 0;
    /// The same if every node enforces the whole limit on its own.
    double overshoot_without_shares = 0;
    /// Spend as a fraction of the limit: over the whole run, during the partition, and over the whole run if
    /// every node enforces the whole limit on its own.
    double used = 0;
    double used_in_partition = 0;
    double used_without_shares = 0;
};

constexpr std::size_t limit_node_count = 7;

/// Runs one step of a node, which spends tokens. In a renewal step it first confirms or takes over the epoch
/// and demands a share.
inline void step_limit_node(share_fleet& fleet, std::size_t index, bool is_renewal_step, double tokens) {
    share_node& node = fleet.nodes[index];
    const bool same_side = !fleet.partitioned || fleet.nodes[fleet.epoch_owner].side == node.side;
    if (is_renewal_step && node.allocator) {
        compare_and_swap_epoch(fleet, index, false);
    }
    if (is_renewal_step && !same_side && node.side == 0 && index == 0) {
        compare_and_swap_epoch(fleet, index, true);
    }
    if (is_renewal_step) {
        send(fleet, index, fleet.epoch_owner, policy::make_demand(node.holder, local_time(fleet, node)));
    }
    spend(fleet, index, tokens);
}

/// Runs seven nodes for six minutes of virtual time. In minutes 3 and 4 the allocator and one more node are
/// separated from the others and from the key-value service. Every 20 s, half of the load moves to another
/// node.
inline limit_stats partitioned_limit(unsigned seed) {
    std::mt19937 random(seed);
    policy::rate_share_settings settings;
    settings.max_nodes = 16;
    auto fleet = make_fleet(settings, limit_node_count, [&](int below) {
        return std::uniform_int_distribution<int>(0, below - 1)(random);
    });
    fleet.loss_percent = 1;
    fleet.max_delay_ms = 20;
    fleet.store_on_one_side = true;
    fleet.nodes[5].side = fleet.nodes[6].side = 1;
    compare_and_swap_epoch(fleet, 6, true);
    limit_stats stats;
    double independent_level = 0;
    double spent_before = 0;
    const double burst_s = core::to_seconds(settings.burst);
    std::vector<policy::token_bucket> independent_buckets(limit_node_count,
                                                          {fleet.limit, settings.burst, 0, {}});
    for (int step = 0; step < 36000; ++step) {
        advance_fleet(fleet, milliseconds(10), 1);
        independent_level = std::min(independent_level + fleet.limit * 0.01, fleet.limit * burst_s);
        fleet.partitioned = step >= 12000 && step < 24000;
        spent_before = step == 12000 ? fleet.spent : spent_before;
        deliver(fleet);
        for (std::size_t i = 0; i < limit_node_count; ++i) {
            const bool has_half_of_load = static_cast<std::size_t>(step / 2000) % limit_node_count == i;
            const double rate = 3 * fleet.limit * (has_half_of_load ? 0.5 : 0.5 / (limit_node_count - 1));
            const double tokens = fleet.random_below(10) == 0 ? rate * 0.1 : 0;
            step_limit_node(fleet, i, step % 50 == static_cast<int>(i), tokens);
            const core::steady_time now(fleet.now);
            const double taken = policy::try_take(independent_buckets[i], tokens, now) ? tokens : 0;
            independent_level -= taken;
            stats.used_without_shares += taken / fleet.limit / 360;
        }
        stats.overshoot_without_shares =
            std::max(stats.overshoot_without_shares, -independent_level / fleet.limit);
        if (step == 23999) {
            stats.used_in_partition = (fleet.spent - spent_before) / fleet.limit / 120;
        }
    }
    stats.overshoot = fleet.overspent / fleet.limit;
    stats.used = fleet.spent / fleet.limit / 360;
    return stats;
}

} // namespace figspoke::test
