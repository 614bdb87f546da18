#pragma once

#include <random>

#include "support/share_fleet.h"

namespace figspoke::test {

/// Figures of callers that ask for three times a limit over all nodes, with a partition in the middle.
struct limit_figures {
    /// Greatest spend beyond what one bucket of the whole limit allows, in seconds of the limit.
    double overshoot = 0;
    /// The same where every node applies the whole limit by itself.
    double overshoot_without_shares = 0;
    /// Spend as a share of the limit over the whole run and during the partition.
    double used = 0;
    double used_in_partition = 0;
    double used_without_shares = 0;
};

constexpr std::size_t limit_nodes = 7;

/// One step of a node: confirm or take over the epoch, ask for a share, spend.
inline void act_for_limit(share_fleet& fleet, std::size_t index, bool renew, double tokens) {
    share_node& node = fleet.nodes[index];
    const bool same_side = !fleet.partitioned || fleet.nodes[fleet.owner].side == node.side;
    if (renew && node.allocator) {
        swap_epoch(fleet, index, false);
    }
    if (renew && !same_side && node.side == 0 && index == 0) {
        swap_epoch(fleet, index, true);
    }
    if (renew) {
        send(fleet, index, fleet.owner, policy::make_demand(node.holder, local_time(fleet, node)));
    }
    spend(fleet, index, tokens);
}

/// Seven nodes for six minutes of virtual time; in minutes 3 and 4 the allocator and one more node are cut
/// off from the others and from the key-value service. Half of the load moves between nodes every 20 s.
inline limit_figures partitioned_limit(unsigned seed) {
    std::mt19937 random(seed);
    policy::rate_share_settings settings;
    settings.max_nodes = 16;
    auto fleet = make_fleet(settings, limit_nodes, [&](int below) {
        return std::uniform_int_distribution<int>(0, below - 1)(random);
    });
    fleet.loss_percent = 1;
    fleet.max_delay_ms = 20;
    fleet.store_on_one_side = true;
    fleet.nodes[5].side = fleet.nodes[6].side = 1;
    swap_epoch(fleet, 6, true);
    limit_figures figures;
    double alone_level = 0;
    double spent_before = 0;
    const double burst_s = core::to_seconds(settings.burst);
    std::vector<policy::token_bucket> alone(limit_nodes, {fleet.limit, settings.burst, 0, {}});
    for (int step = 0; step < 36000; ++step) {
        advance_fleet(fleet, milliseconds(10), 1);
        alone_level = std::min(alone_level + fleet.limit * 0.01, fleet.limit * burst_s);
        fleet.partitioned = step >= 12000 && step < 24000;
        spent_before = step == 12000 ? fleet.spent : spent_before;
        deliver(fleet);
        for (std::size_t i = 0; i < limit_nodes; ++i) {
            const bool favoured = static_cast<std::size_t>(step / 2000) % limit_nodes == i;
            const double rate = 3 * fleet.limit * (favoured ? 0.5 : 0.5 / (limit_nodes - 1));
            const double tokens = fleet.pick(10) == 0 ? rate * 0.1 : 0;
            act_for_limit(fleet, i, step % 50 == static_cast<int>(i), tokens);
            const core::steady_time now(fleet.now);
            const double taken = policy::try_take(alone[i], tokens, now) ? tokens : 0;
            alone_level -= taken;
            figures.used_without_shares += taken / fleet.limit / 360;
        }
        figures.overshoot_without_shares =
            std::max(figures.overshoot_without_shares, -alone_level / fleet.limit);
        if (step == 23999) {
            figures.used_in_partition = (fleet.spent - spent_before) / fleet.limit / 120;
        }
    }
    figures.overshoot = fleet.overspent / fleet.limit;
    figures.used = fleet.spent / fleet.limit / 360;
    return figures;
}

} // namespace figspoke::test
