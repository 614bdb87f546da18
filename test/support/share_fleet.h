#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/rate_shares.h"

/// Drives rate holders and allocators of a fleet through generated faults in virtual time.
namespace figspoke::test {

using std::chrono::milliseconds;

struct share_node {
    std::string name;
    /// Speed and start of the node's own clock.
    double clock_rate = 1;
    milliseconds clock_offset{0};
    milliseconds paused_until{0};
    int side = 0;
    /// The node that this one believes to be the allocator.
    std::size_t view = 0;
    bool busy = true;
    policy::rate_holder holder;
    std::optional<policy::rate_allocator> allocator;
};

struct share_message {
    std::size_t from = 0;
    std::size_t to = 0;
    milliseconds due{0};
    std::variant<policy::share_demand, policy::share_grant, policy::share_release> body;
};

/// A successful compare-and-swap whose reply is still on its way.
struct epoch_reply {
    std::size_t node = 0;
    std::string name;
    std::uint64_t epoch = 0;
    bool takeover = false;
    core::steady_time sent;
    milliseconds due{0};
};

struct share_fleet {
    policy::rate_share_settings settings;
    double limit = 1000;
    milliseconds now{0};
    std::vector<share_node> nodes;
    std::vector<share_message> mesh;
    std::vector<epoch_reply> replies;
    std::uint64_t epoch = 0;
    std::size_t owner = 0;
    bool store_up = true;
    bool partitioned = false;
    /// Whether a partition cuts nodes of side 1 off from the key-value service too.
    bool store_on_one_side = false;
    int restarts = 0;
    /// Returns a number from 0 to below its argument; the source of all faults.
    std::function<int(int)> pick;
    int loss_percent = 0;
    int max_delay_ms = 1;
    /// Level of one bucket of the whole limit, which the fleet's spend must fit.
    double reference_level = 0;
    double spent = 0;
    double overspent = 0;
};

inline core::steady_time local_time(const share_fleet& fleet, const share_node& node) {
    const auto run = std::chrono::duration<double, std::milli>(fleet.now) * node.clock_rate;
    return core::steady_time(node.clock_offset) + std::chrono::duration_cast<std::chrono::nanoseconds>(run);
}

inline void restart_node(share_fleet& fleet, std::size_t index) {
    share_node& node = fleet.nodes[index];
    node.name = "n" + std::to_string(index) + "#" + std::to_string(++fleet.restarts);
    node.allocator.reset();
    node.paused_until = milliseconds(0);
    node.holder =
        policy::make_rate_holder(fleet.settings, node.name, "a", fleet.limit, local_time(fleet, node));
}

inline void send(share_fleet& fleet, std::size_t from, std::size_t to,
                 const decltype(share_message::body)& body) {
    const int copies = fleet.pick(100) < fleet.loss_percent ? fleet.pick(3) : 1;
    for (int i = 0; i < copies; ++i) {
        fleet.mesh.push_back({from, to, fleet.now + milliseconds(fleet.pick(fleet.max_delay_ms + 1)), body});
    }
}

inline void swap_epoch(share_fleet& fleet, std::size_t index, bool takeover) {
    share_node& node = fleet.nodes[index];
    const bool cut_off = fleet.partitioned && fleet.store_on_one_side && node.side != 0;
    if (!fleet.store_up || cut_off || (!takeover && node.allocator->epoch != fleet.epoch)) {
        return;
    }
    fleet.epoch += takeover ? 1 : 0;
    fleet.owner = index;
    const auto due = fleet.now + milliseconds(fleet.pick(fleet.max_delay_ms + 1));
    if (fleet.pick(100) >= fleet.loss_percent) {
        fleet.replies.push_back({index, node.name, fleet.epoch, takeover, local_time(fleet, node), due});
    }
}

inline void receive(share_fleet& fleet, const share_message& message) {
    share_node& node = fleet.nodes[message.to];
    const auto now = local_time(fleet, node);
    if (const auto* demand = std::get_if<policy::share_demand>(&message.body)) {
        if (node.allocator) {
            if (const auto grant = policy::answer_demand(*node.allocator, *demand, now)) {
                send(fleet, message.to, message.from, *grant);
            }
        }
    } else if (const auto* grant = std::get_if<policy::share_grant>(&message.body)) {
        if (grant->to == node.name) {
            policy::accept_grant(node.holder, *grant, now);
        }
    } else if (node.allocator) {
        policy::note_release(*node.allocator, std::get<policy::share_release>(message.body));
    }
}

inline void receive_reply(share_fleet& fleet, const epoch_reply& reply) {
    share_node& node = fleet.nodes[reply.node];
    if (node.name != reply.name) {
        return;
    }
    if (reply.takeover) {
        node.allocator = policy::start_epoch(fleet.settings, "a", fleet.limit, reply.epoch, reply.sent,
                                             local_time(fleet, node));
    } else if (node.allocator && node.allocator->epoch == reply.epoch) {
        policy::confirm_epoch(*node.allocator, reply.sent);
    }
}

inline bool is_paused(const share_fleet& fleet, std::size_t index) {
    return fleet.nodes[index].paused_until > fleet.now;
}

/// Delivers what is due, except to paused nodes and across a partition (where it is lost).
inline void deliver(share_fleet& fleet) {
    std::vector<share_message> due;
    const auto is_due = [&](const auto& item, std::size_t to) {
        return item.due <= fleet.now && !is_paused(fleet, to);
    };
    const auto split = std::stable_partition(fleet.mesh.begin(), fleet.mesh.end(),
                                             [&](const share_message& m) { return !is_due(m, m.to); });
    due.assign(split, fleet.mesh.end());
    fleet.mesh.erase(split, fleet.mesh.end());
    for (const auto& message : due) {
        if (!fleet.partitioned || fleet.nodes[message.from].side == fleet.nodes[message.to].side) {
            receive(fleet, message);
        }
    }
    for (std::size_t i = 0; i < fleet.replies.size();) {
        if (is_due(fleet.replies[i], fleet.replies[i].node)) {
            receive_reply(fleet, fleet.replies[i]);
            fleet.replies.erase(fleet.replies.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
}

/// Returns the sum of the rates that all nodes may use now, paused ones included.
inline double sum_of_shares(const share_fleet& fleet) {
    double sum = 0;
    for (const auto& node : fleet.nodes) {
        sum += policy::usable_rate(node.holder, local_time(fleet, node));
    }
    return sum;
}

/// Advances virtual time and the reference bucket, which runs as fast as the fastest clock.
inline void advance_fleet(share_fleet& fleet, milliseconds step, double fastest_clock) {
    fleet.now += step;
    const double rate = fleet.limit * fastest_clock;
    fleet.reference_level = std::min(fleet.reference_level + rate * core::to_seconds(step),
                                     fleet.limit * core::to_seconds(fleet.settings.burst));
}

inline bool spend(share_fleet& fleet, std::size_t index, double tokens) {
    share_node& node = fleet.nodes[index];
    if (!policy::take_tokens(node.holder, tokens, local_time(fleet, node))) {
        return false;
    }
    fleet.spent += tokens;
    fleet.reference_level -= tokens;
    fleet.overspent = std::max(fleet.overspent, -fleet.reference_level);
    return true;
}

inline share_fleet make_fleet(const policy::rate_share_settings& settings, std::size_t count,
                              std::function<int(int)> pick) {
    share_fleet fleet;
    fleet.settings = settings;
    fleet.pick = std::move(pick);
    fleet.nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        restart_node(fleet, i);
    }
    return fleet;
}

} // namespace figspoke::test
