#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/cold_limits.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;
using figspoke::test::at;

namespace {

cold_limit_settings limit_of(double per_second, double ratio, double slack) {
    cold_limit_settings settings;
    settings.per_second = per_second;
    settings.most_in_second = per_second * ratio + slack;
    settings.cold_start = milliseconds(3000);
    return settings;
}

// Nodes that send whenever they may to one upstream, which was down and returns cold at 0 ms. Each node
// learns by itself, by a peer's message that may be lost, or by the registry, that it was down or is cold.
struct sending_fleet {
    sending_fleet(std::size_t count, const cold_limit_settings& limit, unsigned seed)
        : settings(limit), random(seed) {
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("node-" + std::to_string(i));
            nodes.emplace_back();
        }
    }

    int draw(int most) { return std::uniform_int_distribution<int>(0, most)(random); }

    // Nodes at the ends of the list know one member more or less than the others.
    sender_place place_of(std::size_t i) const {
        auto known = names;
        if (i % 7 == 3 && i + 1 != known.size() && known.size() > 20) {
            known.pop_back();
        }
        return {names[i], known, 1};
    }

    int send_all(int ms) {
        int sent = 0;
        for (std::size_t i = 0; i < names.size(); ++i) {
            while (next_cold_send(nodes[i], settings, "u", places[i], at(ms)) <= at(ms)) {
                count_cold_send(nodes[i], "u");
                ++sent;
            }
        }
        return sent;
    }

    cold_limit_settings settings;
    std::mt19937 random;
    std::vector<std::string> names;
    std::vector<cold_limits> nodes;
    std::vector<sender_place> places;
};

int most_in_any_second(const std::vector<int>& sent, int step_ms) {
    const auto window = std::size_t(1000 / step_ms);
    int sum = 0;
    int most = 0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        sum += sent[i] - (i >= window ? sent[i - window] : 0);
        most = std::max(most, sum);
    }
    return most;
}

} // namespace

TEST_CASE("an upstream that returns cold gets no more than its rate from all nodes, however late they hear") {
    // Guards against nodes that each use the whole rate, or flood an upstream in the time until the registry
    // tells that it is cold (FAILBACK).
    const auto holds = rc::check([] {
        const auto count = *rc::gen::element<std::size_t>(1, 2, 6, 7, 24, 90, 300);
        const auto limit = limit_of(*rc::gen::inRange(1, 400) / 10.0, 1.5, *rc::gen::inRange(0, 6));
        sending_fleet fleet(count, limit, *rc::gen::inRange(0, 1000000));
        for (std::size_t i = 0; i < count; ++i) {
            fleet.places.push_back(fleet.place_of(i));
            const int seen_down = -fleet.draw(2000);
            if (!record_down(fleet.nodes[i], limit, "u", {1, milliseconds(0)}, at(seen_down))) {
                continue;
            }
            // A repeated or reordered message about the same failure changes nothing.
            RC_ASSERT(!record_down(fleet.nodes[i], limit, "u", {1, milliseconds(0)}, at(seen_down - 300)));
        }
        std::vector<int> told(count);
        for (auto& ms : told) {
            // A node that is cut off doesn't hear of it while the upstream is cold.
            ms = fleet.draw(9) == 0 ? 100000 : 200 + fleet.draw(2500);
        }
        constexpr int step = 20;
        std::vector<int> sent;
        int total = 0;
        for (int ms = 0; ms < 3000; ms += step) {
            for (std::size_t i = 0; i < count; ++i) {
                if (ms >= told[i] && ms - step < told[i]) {
                    record_cold_statement(fleet.nodes[i], limit, "u", {2, milliseconds(3000 - ms)}, at(ms));
                    // The registry's earlier content arrives late.
                    record_cold_statement(fleet.nodes[i], limit, "u", {2, milliseconds(3000 - ms)},
                                          at(ms + 1));
                }
            }
            sent.push_back(fleet.send_all(ms));
            total += sent.back();
        }
        RC_ASSERT(most_in_any_second(sent, step) <= int(limit.most_in_second));
        if (limit.per_second >= 1 && limit.most_in_second >= 2 * limit.per_second) {
            // The rate is used: callers need the capacity where nothing else is left.
            RC_ASSERT(total >= int(0.7 * limit.per_second * 3) - 2);
        }
    });
    CHECK(holds);
}

TEST_CASE("no second holds more than allowed even if all senders have saved what they may") {
    CHECK(rc::check([] {
        const auto limit = limit_of(*rc::gen::inRange(1, 500) / 10.0, *rc::gen::inRange(10, 30) / 10.0,
                                    *rc::gen::inRange(0, 10));
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 400);
        const auto division = divide_cold_rate(limit, nodes);
        RC_ASSERT(division.senders <= nodes);
        RC_ASSERT(double(division.senders) * division.most_saved + division.per_second <=
                  limit.most_in_second + 1e-9);
    }));
}

TEST_CASE("an upstream that was seen down is taken for cold until its registration shows otherwise") {
    // Guards against a flood on an upstream that restarted under its id before the registry told so, with the
    // store away, and against upstreams that stay limited after a false alarm.
    const auto limit = limit_of(6.7, 1.5, 5);
    const cold_statement before{1, milliseconds(0)};
    cold_limits limits;
    REQUIRE(record_down(limits, limit, "u", before, at(0)));
    CHECK(is_cold(limits, "u", at(100)));
    // An old statement of the start before and an early confirmation prove nothing.
    CHECK_FALSE(record_cold_statement(limits, limit, "u", before, at(200)));
    confirm_running(limits, "u", at(4900));
    CHECK(is_cold(limits, "u", at(4950)));

    auto false_alarm = limits;
    confirm_running(false_alarm, "u", at(5100));
    CHECK_FALSE(is_cold(false_alarm, "u", at(5200)));

    auto store_away = limits;
    CHECK(is_cold(store_away, "u", at(7900)));
    CHECK_FALSE(is_cold(store_away, "u", at(8100)));

    auto restarted = limits;
    CHECK(record_cold_statement(restarted, limit, "u", {2, milliseconds(2500)}, at(1000)));
    CHECK(is_cold(restarted, "u", at(3400)));
    CHECK_FALSE(is_cold(restarted, "u", at(3600)));
}

TEST_CASE("a cold time is counted from its first reading, and may begin anew") {
    const auto limit = limit_of(6.7, 1.5, 5);
    cold_limits limits;
    CHECK_FALSE(record_cold_statement(limits, limit, "u", {1, milliseconds(0)}, at(0)));
    CHECK(limits.upstreams.empty());
    CHECK(record_cold_statement(limits, limit, "u", {1, milliseconds(3000)}, at(0)));
    // The same content is applied again whenever another entry of the registry changes.
    CHECK_FALSE(record_cold_statement(limits, limit, "u", {1, milliseconds(3000)}, at(2900)));
    CHECK_FALSE(is_cold(limits, "u", at(3100)));
    CHECK_FALSE(record_cold_statement(limits, limit, "u", {1, milliseconds(0)}, at(3100)));
    CHECK(record_cold_statement(limits, limit, "u", {1, milliseconds(2000)}, at(4000)));
    CHECK(is_cold(limits, "u", at(5900)));
    expire_cold_limits(limits, at(30000));
    CHECK(limits.upstreams.empty());
}

TEST_CASE(
    "a request that another upstream refused at the address doesn't count, and warm services have no limit") {
    const auto limit = limit_of(1, 1, 1);
    cold_limits limits;
    record_cold_statement(limits, limit, "u", {1, milliseconds(9000)}, at(0));
    const sender_place alone{"a", {"a"}, 1};
    CHECK(next_cold_send(limits, limit, "u", alone, at(0)) > at(0));
    CHECK(next_cold_send(limits, limit, "u", alone, at(1000)) == at(1000));
    count_cold_send(limits, "u");
    CHECK(next_cold_send(limits, limit, "u", alone, at(1010)) > at(1010));
    uncount_cold_send(limits, "u");
    CHECK(next_cold_send(limits, limit, "u", alone, at(1020)) == at(1020));
    CHECK_FALSE(record_down(limits, limit_of(0, 1, 1), "v", {1, milliseconds(0)}, at(0)));
    CHECK(next_cold_send(limits, limit, "v", alone, at(0)) == at(0));
}
