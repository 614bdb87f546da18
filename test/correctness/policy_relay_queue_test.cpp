#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/relay_queue.h"
#include "policy/run_time.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;
using test::at;

namespace {

enum class order { fifo, aged_rank, relay };

struct arrival {
    int at_ms = 0;
    queued_request request;
};

struct outcome {
    int on_time = 0;
    int late = 0;
    int refused = 0;
    int all = 0;

    double on_time_part() const { return double(on_time) / std::max(all, 1); }
    double served_part() const { return double(on_time + late) / std::max(all, 1); }
};

arrival make_arrival(int at_ms, int rank, const std::string& account, int work, int target, int deadline) {
    arrival made;
    made.at_ms = at_ms;
    made.request.rank = rank;
    made.request.since = at(at_ms);
    made.request.account = account;
    made.request.latency_target = milliseconds(target);
    made.request.work = milliseconds(work);
    made.request.on_time_until = at(at_ms + target - work);
    made.request.serve_until = at(at_ms + deadline - work);
    return made;
}

std::optional<std::uint64_t> next_by(order by, const relay_queue& queue, core::steady_time now) {
    if (by == order::relay) {
        return next_waiting(queue, {}, "s", now);
    }
    std::optional<std::uint64_t> best;
    double best_key = 0;
    const auto known = queue.services.find("s");
    if (known == queue.services.end()) {
        return best;
    }
    for (const auto& [rank, waiting] : known->second.ranks) {
        for (const auto& [id, entry] : waiting.waiting) {
            const auto& request = entry.request;
            const double waited = core::to_seconds(now - request.since);
            const double aged = rank - 2 * waited / core::to_seconds(request.latency_target);
            const double key = by == order::fifo ? -waited : aged;
            if (!best || key < best_key) {
                best = id;
                best_key = key;
            }
        }
    }
    return best;
}

/// Serves the arrivals in virtual time with `slots` slots, and sums up what callers get by `key`.
template <class Key>
std::map<std::string, outcome> play(order by, std::vector<arrival> arrivals, std::size_t slots, Key key) {
    relay_queue queue;
    const relay_queue_settings settings;
    std::map<std::string, outcome> outcomes;
    std::vector<int> busy_until(slots, 0);
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const arrival& a, const arrival& b) { return a.at_ms < b.at_ms; });
    std::size_t next_arrival = 0;
    std::vector<std::uint64_t> waiting;
    const int end = arrivals.empty() ? 0 : arrivals.back().at_ms + 20000;
    for (int now = 0; now < end; ++now) {
        for (; next_arrival < arrivals.size() && arrivals[next_arrival].at_ms <= now; ++next_arrival) {
            auto& request = arrivals[next_arrival].request;
            request.id = next_arrival + 1;
            auto& result = outcomes[key(request)];
            ++result.all;
            const bool refused = by == order::relay && is_hopeless(queue, settings, "s", request, at(now));
            const bool full = waiting_count(queue, "s", request.rank) >= settings.max_waiting;
            const auto displaced =
                by == order::relay && full ? request_to_displace(queue, "s", request) : std::nullopt;
            if (displaced) {
                remove_waiting(queue, "s", *displaced);
                waiting.erase(std::find(waiting.begin(), waiting.end(), *displaced));
                ++outcomes[key(arrivals[*displaced - 1].request)].refused;
            }
            if (refused || !add_waiting(queue, settings, "s", request)) {
                ++result.refused;
            } else {
                waiting.push_back(request.id);
            }
        }
        for (auto id = waiting.begin(); id != waiting.end();) {
            const auto& request = arrivals[*id - 1].request;
            if (now >= core::to_ms(request.serve_until - at(0)).count()) {
                remove_waiting(queue, "s", *id);
                ++outcomes[key(request)].refused;
                id = waiting.erase(id);
            } else {
                ++id;
            }
        }
        for (auto& busy : busy_until) {
            const auto next = busy <= now ? next_by(by, queue, at(now)) : std::nullopt;
            if (!next) {
                continue;
            }
            const auto& request = arrivals[*next - 1].request;
            auto& result = outcomes[key(request)];
            ++(at(now) <= request.on_time_until ? result.on_time : result.late);
            busy = now + int(request.work.count());
            start_waiting(queue, settings, "s", *next, at(now));
            waiting.erase(std::find(waiting.begin(), waiting.end(), *next));
        }
    }
    return outcomes;
}

std::string all_of(const queued_request&) {
    return "all";
}
std::string rank_of(const queued_request& request) {
    return std::to_string(request.rank);
}
std::string account_of(const queued_request& request) {
    return request.account;
}
std::string size_of(const queued_request& request) {
    return request.work.count() > 300 ? "large" : "small";
}

/// Arrivals of one rank at a steady interval from `from` to `to`.
void add_steady(std::vector<arrival>& arrivals, int from, int to, double interval, const arrival& like) {
    for (double now = from; now < to; now += interval) {
        const auto& request = like.request;
        arrivals.push_back(make_arrival(int(now), request.rank, request.account, int(request.work.count()),
                                        int(request.latency_target.count()),
                                        int(core::to_ms(request.serve_until - at(like.at_ms)).count()) +
                                            int(request.work.count())));
    }
}

} // namespace

TEST_CASE("a burst leaves requests on time that arrive after its backlog") {
    // In the order of arrival each request waits behind those that are late already, and all become late.
    std::vector<arrival> arrivals;
    add_steady(arrivals, 0, 3000, 16, make_arrival(0, 0, "a", 100, 1000, 6000));
    add_steady(arrivals, 3000, 8000, 40, make_arrival(0, 0, "a", 100, 1000, 6000));
    const auto fifo = play(order::fifo, arrivals, 4, all_of)["all"];
    const auto aged = play(order::aged_rank, arrivals, 4, all_of)["all"];
    const auto relay = play(order::relay, arrivals, 4, all_of)["all"];
    CHECK(relay.on_time_part() > fifo.on_time_part() + 0.1);
    CHECK(relay.on_time_part() > aged.on_time_part() + 0.1);
    CHECK(relay.served_part() > 0.95);
}

TEST_CASE("a flood of the most urgent rank leaves the other ranks their floor") {
    // Strict order by rank starves the least urgent requests for as long as the flood lasts.
    std::vector<arrival> arrivals;
    add_steady(arrivals, 0, 10000, 10, make_arrival(0, 0, "a", 100, 1000, 3000));
    add_steady(arrivals, 0, 10000, 200, make_arrival(0, 2, "a", 100, 1000, 3000));
    const auto ranks = play(order::relay, arrivals, 4, rank_of);
    CHECK(ranks.at("2").served_part() >= 0.6);
    CHECK(ranks.at("0").served_part() >= 0.3);
}

TEST_CASE("under a flood of a less urgent rank the most urgent requests stay on time") {
    std::vector<arrival> arrivals;
    add_steady(arrivals, 0, 6000, 60, make_arrival(0, 0, "a", 100, 1000, 3000));
    add_steady(arrivals, 0, 6000, 10, make_arrival(0, 1, "a", 100, 1000, 3000));
    CHECK(play(order::relay, arrivals, 4, rank_of).at("0").on_time_part() > 0.95);
    CHECK(play(order::aged_rank, arrivals, 4, rank_of).at("0").on_time_part() <
          play(order::relay, arrivals, 4, rank_of).at("0").on_time_part());
}

TEST_CASE("an account at many times its usual load does not take the part of the others") {
    std::vector<arrival> arrivals;
    for (int account = 0; account < 12; ++account) {
        add_steady(arrivals, account * 3, 8000, 400,
                   make_arrival(0, 0, std::to_string(account), 100, 1000, 4000));
    }
    add_steady(arrivals, 1000, 8000, 12, make_arrival(0, 0, "flood", 100, 1000, 4000));
    const auto least_served = [&](order by) {
        double least = 1;
        for (const auto& [account, result] : play(by, arrivals, 4, account_of)) {
            least = account == "flood" ? least : std::min(least, result.on_time_part());
        }
        return least;
    };
    CHECK(least_served(order::relay) > 0.9);
    CHECK(least_served(order::fifo) < 0.5);
}

TEST_CASE("the largest requests are served under load") {
    // Their latest starts come first, so an order that prefers what is on time may drop just them.
    std::vector<arrival> arrivals;
    add_steady(arrivals, 0, 8000, 28, make_arrival(0, 0, "a", 100, 1000, 5000));
    add_steady(arrivals, 0, 8000, 280, make_arrival(0, 0, "a", 500, 1000, 5000));
    const auto sizes = play(order::relay, arrivals, 4, size_of);
    CHECK(sizes.at("large").served_part() > 0.5 * sizes.at("small").served_part());
}

TEST_CASE("a request is refused as soon as its wait is known to outlast its deadline, and not before") {
    relay_queue queue;
    const relay_queue_settings settings;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        auto waiting = make_arrival(0, 0, "a", 100, 1000, 4000).request;
        waiting.id = id;
        CHECK(add_waiting(queue, settings, "s", waiting));
    }
    const auto patient = make_arrival(0, 0, "b", 100, 1000, 60000).request;
    const auto urgent = make_arrival(0, 0, "a", 100, 100, 600).request;
    CHECK_FALSE(is_hopeless(queue, settings, "s", urgent, at(0)));
    for (std::uint64_t id = 1; id <= 4; ++id) {
        start_waiting(queue, settings, "s", id, at(int(id) * 100));
    }
    // One start each 100 ms: sixteen requests are ahead of it.
    CHECK(is_hopeless(queue, settings, "s", urgent, at(400)));
    CHECK_FALSE(is_hopeless(queue, settings, "s", patient, at(400)));
    CHECK_FALSE(is_hopeless(queue, settings, "other", urgent, at(400)));
}

TEST_CASE("a flood of one rank or service does not fill the queue of another") {
    relay_queue queue;
    relay_queue_settings settings;
    settings.max_waiting = 3;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        CHECK(add_waiting(queue, settings, "s", {id, 1, at(0), milliseconds(1000), "flood"}));
    }
    CHECK_FALSE(add_waiting(queue, settings, "s", {4, 1, at(0), milliseconds(1000), "flood"}));
    CHECK(add_waiting(queue, settings, "s", {5, 0, at(0), milliseconds(1000), "flood"}));
    CHECK(add_waiting(queue, settings, "t", {6, 1, at(0), milliseconds(1000), "flood"}));
    CHECK_FALSE(request_to_displace(queue, "s", {7, 1, at(0), milliseconds(1000), "flood"}).has_value());
    CHECK(request_to_displace(queue, "s", {7, 1, at(0), milliseconds(1000), "other"}) == 3);
}

TEST_CASE("refused callers return one after the other, within the time that they wait") {
    relay_queue queue;
    const relay_queue_settings settings;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        CHECK(add_waiting(queue, settings, "s", {id, 0, at(0), milliseconds(1000), "a", milliseconds(100)}));
    }
    for (std::uint64_t id = 1; id <= 5; ++id) {
        start_waiting(queue, settings, "s", id, at(int(id) * 100));
    }
    milliseconds last{0};
    for (std::uint64_t id = 21; id <= 30; ++id) {
        const queued_request refused = {id, 0, at(500), milliseconds(1000), "a", milliseconds(100)};
        const auto pause = return_time(queue, settings, "s", refused, milliseconds(30000), 0, at(500));
        CHECK(pause > last);
        CHECK(pause <= milliseconds(10000));
        last = pause;
    }
    CHECK(last >= milliseconds(1500));
}

TEST_CASE("a return lies within what callers wait for, at any load") {
    CHECK(rc::check([] {
        relay_queue queue;
        const relay_queue_settings settings;
        const auto waiting = *rc::gen::inRange(0, 30);
        for (int id = 1; id <= waiting; ++id) {
            add_waiting(queue, settings, "s",
                        {std::uint64_t(id), *rc::gen::inRange(0, 3), at(0), milliseconds(1000), "a",
                         milliseconds(*rc::gen::inRange(1, 2000))});
        }
        const int now = *rc::gen::inRange(0, 5000);
        for (int id = 1; id <= waiting / 3; ++id) {
            start_waiting(queue, settings, "s", std::uint64_t(id), at(now));
        }
        const milliseconds left(*rc::gen::inRange(0, 20000));
        const queued_request refused = {
            99, 1, at(now), milliseconds(1000), "b", milliseconds(*rc::gen::inRange(1, 3000))};
        const auto draw = *rc::gen::inRange(0, 1000) / 1000.0;
        const auto pause = return_time(queue, settings, "s", refused, left, draw, at(now));
        RC_ASSERT(pause >= milliseconds(0));
        RC_ASSERT(3 * pause <= left);
    }));
}

TEST_CASE("the queue empties whatever starts and leaves") {
    // A rank or an account that stays behind would grow the state of a node without bound.
    CHECK(rc::check([] {
        relay_queue queue;
        const relay_queue_settings settings;
        std::uint64_t next = 1;
        for (int step = 0; step < 60; ++step) {
            if (*rc::gen::inRange(0, 2) == 0) {
                add_waiting(queue, settings, "s",
                            {next++, *rc::gen::inRange(0, 3), at(step * 50), milliseconds(1000),
                             std::to_string(*rc::gen::inRange(0, 4)),
                             milliseconds(*rc::gen::inRange(1, 900))});
            } else if (const auto id = next_waiting(queue, settings, "s", at(step * 50))) {
                if (*rc::gen::inRange(0, 3) == 0) {
                    remove_waiting(queue, "s", *id);
                } else {
                    start_waiting(queue, settings, "s", *id, at(step * 50));
                }
                RC_ASSERT_FALSE(is_waiting(queue, "s", *id));
            }
        }
        while (const auto id = next_waiting(queue, settings, "s", at(9000))) {
            start_waiting(queue, settings, "s", *id, at(9000));
        }
        RC_ASSERT(queue.services.empty());
    }));
}

TEST_CASE("the expected time of a run follows its route and its size") {
    run_times times;
    CHECK(expected_run(times, "r", 100) == milliseconds(0));
    learn_run(times, "r", milliseconds(400), 1000);
    CHECK(expected_run(times, "r", 1000) == milliseconds(400));
    CHECK(expected_run(times, "r", 2000) == milliseconds(800));
    CHECK(expected_run(times, "r", 1000000) == milliseconds(1600));
    CHECK(expected_run(times, "other", 1000) == milliseconds(0));
}
