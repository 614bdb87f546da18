#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/rate_shares.h"

/// Simulates the rate holders and allocators of a fleet with generated faults, in virtual time.
namespace figspoke::test {

using std::chrono::milliseconds;

struct share_node {
    std::string name;
    /// Rate and offset of the node's clock relative to virtual time.
    double clock_rate = 1;
    milliseconds clock_offset{0};
    milliseconds paused_until{0};
    /// The side of a partition that the node is on, 0 or 1.
    int side = 0;
    /// Index of the node that this one takes for the allocator.
    std::size_t assumed_allocator = 0;
    bool busy = true;
    policy::rate_holder holder;
    std::optional<policy::rate_allocator> allocator;
};

struct share_message {
    std::size_t from = 0;
    std::size_t to = 0;
    milliseconds deliver_at{0};
    std::variant<policy::share_demand, policy::share_grant, policy::share_release> body;
};

/// The reply to a successful compare-and-swap, in transit.
struct epoch_reply {
    std::size_t node = 0;
    /// Name of the node when it sent the request; the reply is lost if the node has restarted since.
    std::string name;
    std::uint64_t epoch = 0;
    bool takeover = false;
    core::steady_time sent;
    milliseconds deliver_at{0};
};

struct share_fleet {
    policy::rate_share_settings settings;
    double limit = 1000;
    milliseconds now{0};
    std::vector<share_node> nodes;
    std::vector<share_message> messages;
    std::vector<epoch_reply> replies;
    std::uint64_t epoch = 0;
    /// Index of the node that last wrote the epoch.
    std::size_t epoch_owner = 0;
    bool store_available = true;
    bool partitioned = false;
    /// Whether a partition also separates the nodes of side 1 from the key-value service.
    bool store_on_one_side = false;
    int restarts = 0;
    /// Returns a number from 0 to below its argument; the source of all random choices.
    std::function<int(int)> random_below;
    int loss_percent = 0;
    int max_delay_ms = 1;
    /// Level of a reference bucket with the whole limit. The fleet may spend only what this bucket allows.
    double reference_level = 0;
    double spent = 0;
    /// The largest spend beyond what the reference bucket allows, in tokens.
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
    const int copies = fleet.random_below(100) < fleet.loss_percent ? fleet.random_below(3) : 1;
    for (int i = 0; i < copies; ++i) {
        fleet.messages.push_back(
            {from, to, fleet.now + milliseconds(fleet.random_below(fleet.max_delay_ms + 1)), body});
    }
}

/// Raises the epoch for a takeover, otherwise confirms the one that the node's allocator holds.
inline void compare_and_swap_epoch(share_fleet& fleet, std::size_t index, bool takeover) {
    share_node& node = fleet.nodes[index];
    const bool is_cut_off = fleet.partitioned && fleet.store_on_one_side && node.side != 0;
    if (!fleet.store_available || is_cut_off || (!takeover && node.allocator->epoch != fleet.epoch)) {
        return;
    }
    fleet.epoch += takeover ? 1 : 0;
    fleet.epoch_owner = index;
    const auto deliver_at = fleet.now + milliseconds(fleet.random_below(fleet.max_delay_ms + 1));
    if (fleet.random_below(100) >= fleet.loss_percent) {
        fleet.replies.push_back(
            {index, node.name, fleet.epoch, takeover, local_time(fleet, node), deliver_at});
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
        policy::record_release(*node.allocator, std::get<policy::share_release>(message.body));
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

/// Delivers the messages that are due, except to paused nodes. Messages across a partition are lost.
inline void deliver(share_fleet& fleet) {
    std::vector<share_message> due_messages;
    const auto is_deliverable = [&](const auto& item, std::size_t to) {
        return item.deliver_at <= fleet.now && !is_paused(fleet, to);
    };
    const auto first_due =
        std::stable_partition(fleet.messages.begin(), fleet.messages.end(),
                              [&](const share_message& m) { return !is_deliverable(m, m.to); });
    due_messages.assign(first_due, fleet.messages.end());
    fleet.messages.erase(first_due, fleet.messages.end());
    for (const auto& message : due_messages) {
        if (!fleet.partitioned || fleet.nodes[message.from].side == fleet.nodes[message.to].side) {
            receive(fleet, message);
        }
    }
    for (std::size_t i = 0; i < fleet.replies.size();) {
        if (is_deliverable(fleet.replies[i], fleet.replies[i].node)) {
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

/// Advances virtual time and refills the reference bucket by the fastest clock of the fleet.
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
                              std::function<int(int)> random_below) {
    share_fleet fleet;
    fleet.settings = settings;
    fleet.random_below = std::move(random_below);
    fleet.nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        restart_node(fleet, i);
    }
    return fleet;
}

} // namespace figspoke::test
