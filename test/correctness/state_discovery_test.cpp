#include <algorithm>
#include <set>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/discovery.h"

using namespace figspoke;
using namespace figspoke::state;
using core::milliseconds;

namespace {

// Nodes that start together, a store that holds addresses, and seeds that may be down. A node that knows the
// address of a running node is joined to its group, as heartbeats join them.
struct discovery_play {
    struct node {
        bool running = true;
        bool registered = false;
        std::size_t group = 0;
        milliseconds started_at{0};
        milliseconds read_at{0};
        milliseconds ended_at{0};
    };

    // Others notice the end of a process late.
    static constexpr milliseconds detection_time{3000};

    explicit discovery_play(std::size_t count) : nodes(count) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes[i].group = i;
        }
    }

    void join(std::size_t a, std::size_t b) {
        const auto from = nodes[b].group;
        for (auto& node : nodes) {
            node.group = node.group == from ? nodes[a].group : node.group;
        }
    }

    void step(milliseconds now) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i].running) {
                continue;
            }
            discovery_state state{now - nodes[i].started_at, 0, 0, nodes[i].registered,
                                  now - nodes[i].read_at};
            for (std::size_t j = 0; j < nodes.size(); ++j) {
                const bool noticed = !nodes[j].running && now - nodes[j].ended_at >= detection_time;
                const bool live = !noticed && nodes[j].group == nodes[i].group;
                state.live_members += live ? 1 : 0;
                state.rank += live && j < i ? 1 : 0;
            }
            take(i, next_discovery_step(state, {}), now);
        }
    }

    void take(std::size_t i, discovery_step step, milliseconds now) {
        if (step == discovery_step::none) {
            return;
        }
        if (step == discovery_step::read_and_write_addresses) {
            ++calls;
            nodes[i].read_at = now;
            for (const auto known : stored) {
                if (nodes[known].running) {
                    join(known, i);
                }
            }
        }
        ++calls;
        stored.insert(i);
        nodes[i].registered = true;
    }

    std::size_t groups() const {
        std::set<std::size_t> found;
        for (const auto& node : nodes) {
            if (node.running) {
                found.insert(node.group);
            }
        }
        return found.size();
    }

    std::vector<node> nodes;
    std::set<std::size_t> stored;
    int calls = 0;
};

} // namespace

TEST_CASE("the start of a large fleet with a running seed costs a few calls to the store") {
    // Guards against a start of all nodes that makes two calls for each of them, as after a loss of power.
    discovery_play play(300);
    for (std::size_t i = 1; i < play.nodes.size(); ++i) {
        play.join(0, i);
    }
    for (int ms = 0; ms < 10000; ms += 500) {
        play.step(milliseconds(ms));
    }
    CHECK(play.calls <= 3);
    CHECK(play.stored.size() == 3U);
}

TEST_CASE("nodes find each other without a seed, also after all nodes known to the store were replaced") {
    CHECK(rc::check([] {
        discovery_play play(std::size_t(*rc::gen::inRange(2, 12)));
        int now = 0;
        const auto settle = [&] {
            for (const int until = now + 20000; now < until; now += 500) {
                play.step(milliseconds(now));
            }
        };
        settle();
        RC_ASSERT(play.groups() == 1U);
        // Some nodes are replaced by new processes that know no peer and no seed.
        for (std::size_t i = 0; i < play.nodes.size(); ++i) {
            if (*rc::gen::inRange(0, 3) > 0) {
                play.nodes[i].running = false;
                play.nodes[i].ended_at = milliseconds(now);
            }
        }
        const auto before = play.nodes.size();
        for (int i = 0; i < 3; ++i) {
            discovery_play::node added;
            added.group = before + 100 + std::size_t(i);
            added.started_at = milliseconds(now);
            added.read_at = added.started_at;
            play.nodes.push_back(added);
        }
        settle();
        RC_ASSERT(play.groups() == 1U);
    }));
}
