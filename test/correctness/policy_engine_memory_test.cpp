#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/load_table.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using test::at;

namespace {

constexpr std::int64_t capacity = 444000;

struct drawn_traffic {
    std::uint32_t seed = 1;
    std::size_t nodes = 64;
    int delay_ms = 3;
    int loss_percent = 1;
    int arrivals_per_100ms = 40;
};

struct played_memory {
    std::int64_t most_held = 0;
    double mean_held = 0;
    int served = 0;
};

// Plays nodes that ask the load aggregator of one engine for room and send a request if there is some. All
// messages take up to `delay_ms` and some are lost; a lost reply means no request. A node repeats its report
// every 400 ms.
played_memory play_memory(const drawn_traffic& traffic, bool with_grants) {
    struct event {
        int at;
        int order;
        std::function<void(int)> run;
        bool operator<(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    std::mt19937 random(traffic.seed);
    std::priority_queue<event> events;
    int order = 0;
    const auto later = [&](int ms, std::function<void(int)> run) {
        events.push({ms, order++, std::move(run)});
    };
    const auto message = [&](int ms, std::function<void(int)> run) {
        if (int(random() % 100) >= traffic.loss_percent) {
            later(ms + 1 + int(random() % std::uint32_t(traffic.delay_ms)), std::move(run));
        }
    };
    load_table table;
    load_table_settings settings;
    settings.memory.grant_lifetime = core::milliseconds(with_grants ? 60 : -1);
    std::vector<std::int64_t> own(traffic.nodes, 0);
    std::vector<std::uint64_t> sequences(traffic.nodes, 0);
    std::int64_t held = 0;
    played_memory result;
    const auto report = [&](std::size_t node, int ms) {
        const node_load_report line{"n" + std::to_string(node), 1, ++sequences[node], {1, own[node], {}, {}}};
        message(ms, [&, line](int now) { record_load(table, "u", line, at(now)); });
    };
    const auto request = [&](std::size_t node, std::int64_t tokens, int ms) {
        const auto name = "n" + std::to_string(node);
        message(ms, [&, node, tokens, name](int asked) {
            const auto load = aggregate_load(table, settings, "u", at(asked));
            grant_memory(table.grants, settings.memory, "u", name, tokens, at(asked));
            message(asked, [&, node, tokens, load](int now) {
                if (!has_engine_memory(settings.memory, capacity, load.use.tokens, tokens)) {
                    return;
                }
                held += tokens;
                own[node] += tokens;
                ++result.served;
                result.most_held = std::max(result.most_held, held);
                report(node, now);
                later(now + 500 + int(random() % 1500), [&, node, tokens](int end) {
                    held -= tokens;
                    own[node] -= tokens;
                    report(node, end);
                });
            });
        });
    };
    constexpr int end_ms = 8000;
    for (int ms = 0; ms < end_ms; ms += 100) {
        for (int i = 0; i < traffic.arrivals_per_100ms; ++i) {
            const auto node = random() % traffic.nodes;
            const auto tokens = std::int64_t(2000 + random() % 30000);
            // Arrivals come together, as after a pause of many callers.
            later(ms + int(random() % 5), [&, node, tokens](int now) { request(node, tokens, now); });
        }
        for (std::size_t node = 0; ms % 400 == 0 && node < traffic.nodes; ++node) {
            later(ms + int(node % 50), [&, node](int now) { report(node, now); });
        }
    }
    int last = 0;
    while (!events.empty()) {
        const auto next = events.top();
        events.pop();
        result.mean_held += next.at <= end_ms ? double(held) * (next.at - last) / end_ms : 0;
        last = next.at;
        next.run(next.at);
    }
    return result;
}

} // namespace

TEST_CASE("no engine is asked to hold more than its memory, over drawn traffic, loss and lag") {
    CHECK(rc::check([] {
        drawn_traffic traffic;
        traffic.seed = *rc::gen::arbitrary<std::uint32_t>();
        traffic.nodes = *rc::gen::inRange<std::size_t>(2, 100);
        traffic.delay_ms = *rc::gen::inRange(1, 15);
        traffic.loss_percent = *rc::gen::inRange(0, 3);
        traffic.arrivals_per_100ms = *rc::gen::inRange(5, 60);
        RC_ASSERT(play_memory(traffic, true).most_held <= capacity);
    }));
}

TEST_CASE("without grants, nodes that ask at once overfill an engine; with them little stays unused") {
    const auto without = play_memory({}, false);
    const auto granted = play_memory({}, true);
    MESSAGE("most held, mean held, served: without grants ", without.most_held, " ", without.mean_held, " ",
            without.served, ", with ", granted.most_held, " ", granted.mean_held, " ", granted.served);
    CHECK(without.most_held > capacity);
    CHECK(granted.most_held <= capacity);
    CHECK(granted.mean_held > 0.6 * double(capacity));
}

TEST_CASE("an idle engine takes a request of any size, and an unknown capacity limits nothing") {
    CHECK(has_engine_memory({}, capacity, 0, 2 * capacity));
    CHECK(has_engine_memory({}, 0, capacity, capacity));
    CHECK_FALSE(has_engine_memory({}, capacity, 1, capacity));
    CHECK(reserved_tokens(100, 20) == 120);
}
