#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/named_limits.h"
#include "support/test_time.h"

using namespace figspoke::policy;
using figspoke::test::at;

namespace {

struct fleet_of_senders {
    fleet_of_senders(std::size_t count, double per_second) {
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("node-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            limits.emplace_back();
            record_limit(limits.back(), {}, "u", {per_second, at(0)});
        }
    }

    // Lets each node send all that it may at this time; returns how many requests that are.
    int send_all(int ms) {
        int sent = 0;
        for (std::size_t i = 0; i < names.size(); ++i) {
            record_limit(limits[i], {}, "u", {limits[i].upstreams.at("u").statement.per_second, at(ms)});
            while (may_send_within_limit(limits[i], {}, "u", {names[i], names, 1}, at(ms))) {
                count_send(limits[i], "u");
                ++sent;
            }
        }
        return sent;
    }

    std::vector<std::string> names;
    std::vector<named_limits> limits;
};

} // namespace

TEST_CASE("all nodes together stay within the limit that an upstream has named") {
    // Guards against nodes that each use the whole limit, or save up requests that add up over the fleet
    // (LIMIT).
    const auto holds = rc::check([] {
        const auto nodes = *rc::gen::element<std::size_t>(1, 2, 6, 7, 24, 89, 295, 380);
        const double per_second = *rc::gen::inRange(0, 400) / 10.0;
        fleet_of_senders fleet(nodes, per_second);
        std::vector<int> sent;
        for (int ms = 0; ms < 20000; ms += 100) {
            sent.push_back(fleet.send_all(ms));
        }
        int window = 0;
        int total = 0;
        for (std::size_t i = 0; i < sent.size(); ++i) {
            window += sent[i] - (i >= 40 ? sent[i - 40] : 0);
            total += sent[i];
            RC_ASSERT(window <= int(1.5 * per_second * 4) + 5);
        }
        // The capacity is used: callers get nearly all that the upstream takes.
        RC_ASSERT(total >= int(0.8 * per_second * 20) - 5);
    });
    CHECK(holds);
}

TEST_CASE("a limit ends with the answer that names none, and an older statement changes nothing") {
    named_limits limits;
    const sender_place alone{"a", {"a"}, 1};
    CHECK_FALSE(record_limit(limits, {}, "u", {std::nullopt, at(0)}));
    CHECK(may_send_within_limit(limits, {}, "u", alone, at(0)));
    CHECK(record_limit(limits, {}, "u", {2.0, at(100)}));
    CHECK_FALSE(may_send_within_limit(limits, {}, "u", alone, at(100)));
    CHECK_FALSE(record_limit(limits, {}, "u", {std::nullopt, at(50)}));
    CHECK_FALSE(may_send_within_limit(limits, {}, "u", alone, at(200)));
    CHECK(may_send_within_limit(limits, {}, "u", alone, at(700)));
    CHECK(record_limit(limits, {}, "u", {std::nullopt, at(800)}));
    count_send(limits, "u");
    CHECK(may_send_within_limit(limits, {}, "u", alone, at(801)));
}

TEST_CASE("a limit of which nothing was heard for long ends, and the number of limits is bounded") {
    named_limits limits;
    const named_limit_settings settings;
    for (std::size_t i = 0; i < 2 * settings.max_upstreams; ++i) {
        record_limit(limits, settings, "u" + std::to_string(i), {0.0, at(0)});
    }
    CHECK(limits.upstreams.size() == settings.max_upstreams);
    CHECK_FALSE(may_send_within_limit(limits, settings, "u1", {"a", {"a"}, 1}, at(29000)));
    CHECK(may_send_within_limit(limits, settings, "u1", {"a", {"a"}, 1}, at(31000)));
    expire_limits(limits, settings, at(31000));
    CHECK(limits.upstreams.empty());
}
