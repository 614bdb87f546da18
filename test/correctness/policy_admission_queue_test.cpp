#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck.h>

#include "policy/admission_queue.h"

using namespace figspoke;
using namespace figspoke::policy;
using std::chrono::milliseconds;

namespace {

const core::steady_time start_time{std::chrono::hours(1)};

admission_request make_request(std::uint64_t id, core::priority priority, const std::string& account,
                               double work = 1) {
    admission_request request;
    request.id = id;
    request.priority = priority;
    request.account = account;
    request.work = work;
    return request;
}

/// Tracks the running requests and counts how often each request ended, which must be exactly once.
struct request_tracker {
    std::map<std::uint64_t, int> end_counts;
    std::set<std::uint64_t> running;

    void record(const std::vector<admission_event>& events) {
        for (const auto& event : events) {
            if (event.action == admission_action::start) {
                RC_ASSERT(running.insert(event.id).second);
            } else if (event.action == admission_action::pause) {
                RC_ASSERT(running.erase(event.id) == 1);
            } else {
                ++end_counts[event.id];
            }
        }
    }
    void record(std::uint64_t id, const admission_decision& decision) {
        end_counts[id] += decision.state == admission_state::refused ? 1 : 0;
        if (decision.state == admission_state::admitted) {
            running.insert(id);
        }
        if (decision.displaced) {
            ++end_counts[decision.displaced->id];
        }
    }
};

admission_request arbitrary_request(std::uint64_t id, core::steady_time now) {
    auto request = make_request(id, static_cast<core::priority>(*rc::gen::inRange(0, 3)),
                                std::string(1, *rc::gen::inRange('a', 'f')), *rc::gen::inRange(1, 40) / 10.0);
    request.weight = *rc::gen::inRange(1, 5);
    request.value = *rc::gen::inRange(1, 4);
    request.pausable = *rc::gen::inRange(0, 2) == 1;
    if (*rc::gen::inRange(0, 2) == 1) {
        request.deadline = now + milliseconds(*rc::gen::inRange(0, 20000));
    }
    return request;
}

std::size_t paused_count(const account_queue& account) {
    return static_cast<std::size_t>(
        std::count_if(account.entries.begin(), account.entries.end(),
                      [](const waiting_request& entry) { return entry.pauses > 0; }));
}

std::size_t paused_count(const fair_queue& waiting) {
    std::size_t count = 0;
    for (const auto& [name, account] : waiting.accounts) {
        count += paused_count(account);
    }
    return count;
}

void check_bounds(const admission_queue& queue) {
    for (std::size_t i = 0; i < core::priority_count; ++i) {
        // Paused requests don't count towards the limits, since they were admitted before.
        const auto& waiting = queue.waiting.at(i);
        RC_ASSERT(waiting.size <= queue.settings.queue_limits.at(i) + paused_count(waiting));
        for (const auto& [name, account] : queue.waiting.at(i).accounts) {
            RC_ASSERT(static_cast<double>(account.entries.size() - paused_count(account)) <=
                      std::max(1.0, queue.settings.account_queue_share *
                                        static_cast<double>(queue.settings.queue_limits.at(i))));
        }
    }
}

void check_counters(const admission_queue& queue) {
    std::array<std::size_t, core::priority_count> running{};
    std::array<std::size_t, core::priority_count> pausable{};
    for (const auto& [id, request] : queue.running) {
        const auto index = static_cast<std::size_t>(request.request.priority);
        ++running.at(index);
        pausable.at(index) += request.request.pausable && request.pauses < queue.settings.max_pauses ? 1 : 0;
    }
    for (std::size_t i = 0; i < core::priority_count; ++i) {
        RC_ASSERT(queue.shares.priorities.at(i).running == running.at(i));
        RC_ASSERT(queue.pausable_running.at(i) == pausable.at(i));
    }
}

} // namespace

TEST_CASE("every submitted request ends exactly once and bounds hold, whatever the order of calls") {
    // Guards against requests that are lost or started twice, and against unbounded queues, when finish,
    // cancel, expiry, displacement and capacity changes interleave.
    CHECK(rc::check([] {
        auto settings = default_admission_settings(static_cast<deployment_profile>(*rc::gen::inRange(0, 2)));
        settings.discipline = static_cast<queue_discipline>(*rc::gen::inRange(0, 2));
        settings.queue_limits = {5, 6, 7};
        auto now = start_time;
        auto queue = make_admission_queue(settings, *rc::gen::inRange(0, 8), now);
        request_tracker tracker;
        const auto steps = *rc::gen::inRange(1, 150);
        for (std::uint64_t id = 1; id <= static_cast<std::uint64_t>(steps); ++id) {
            now += milliseconds(*rc::gen::inRange(0, 600));
            tracker.record(id, submit(queue, arbitrary_request(id, now), now));
            const auto action = *rc::gen::inRange(0, 6);
            const auto target = *rc::gen::inRange<std::uint64_t>(1, id + 1);
            if (action == 0) {
                set_capacity(queue, *rc::gen::inRange(0, 12), now);
            } else if (action == 1 && cancel(queue, target, now)) {
                ++tracker.end_counts[target];
            } else if (action < 5 && finish(queue, target, now)) {
                RC_ASSERT(tracker.running.erase(target) == 1);
                ++tracker.end_counts[target];
            }
            tracker.record(dispatch(queue, now));
            check_bounds(queue);
            RC_ASSERT(queue.running.size() == tracker.running.size());
            check_counters(queue);
        }
        set_capacity(queue, 4, now);
        for (int i = 0; i < 2 * steps && (!queue.running.empty() || waiting_count(queue) > 0); ++i) {
            now += milliseconds(500);
            while (!queue.running.empty()) {
                const auto id = queue.running.begin()->first;
                RC_ASSERT(finish(queue, id, now) && tracker.running.erase(id) == 1);
                ++tracker.end_counts[id];
            }
            tracker.record(dispatch(queue, now));
        }
        RC_ASSERT(tracker.end_counts.size() == static_cast<std::size_t>(steps));
        for (const auto& [id, count] : tracker.end_counts) {
            RC_ASSERT(count == 1);
        }
    }));
}

TEST_CASE("a full queue displaces a request of the account with the longest queue") {
    // Guards against one account that keeps small callers out of a bounded queue.
    auto settings = default_admission_settings(deployment_profile::low_latency);
    settings.queue_limits = {4, 4, 4};
    settings.account_queue_share = 0.75;
    auto queue = make_admission_queue(settings, 1, start_time);
    std::uint64_t id = 0;
    const auto submit_for = [&](const std::string& account) {
        return submit(queue, make_request(++id, core::priority::normal, account, 0.1), start_time);
    };
    CHECK(submit_for("large").state == admission_state::admitted);
    CHECK(submit_for("large").state == admission_state::queued);
    CHECK(submit_for("large").state == admission_state::queued);
    CHECK(submit_for("large").state == admission_state::queued);
    CHECK(submit_for("large").error->kind == core::error_kind::overloaded);
    CHECK(submit_for("small1").state == admission_state::queued);
    const auto decision = submit_for("small2");
    CHECK(decision.state == admission_state::queued);
    REQUIRE(decision.displaced);
    CHECK(decision.displaced->id == 4);
    CHECK(decision.displaced->error->kind == core::error_kind::overloaded);
}

TEST_CASE("overruns on an idle node are not held against an account") {
    // Guards against an account whose work was underestimated for hours without contention, and which
    // therefore starves as soon as another account competes.
    auto settings = default_admission_settings(deployment_profile::low_latency);
    settings.max_wait.fill(std::chrono::minutes(10));
    auto now = start_time;
    auto queue = make_admission_queue(settings, 1, now);
    std::uint64_t id = 0;
    const auto count_starts_under_contention = [&] {
        std::map<std::string, int> started;
        for (int i = 0; i < 10; ++i) {
            submit(queue, make_request(++id, core::priority::normal, i % 2 == 0 ? "under" : "exact", 0.1),
                   now);
        }
        while (!queue.running.empty()) {
            ++started[queue.running.begin()->second.request.account];
            now += milliseconds(100);
            finish(queue, queue.running.begin()->first, now);
            if (dispatch(queue, now).empty() || started["under"] + started["exact"] == 6) {
                break;
            }
        }
        return started;
    };
    count_starts_under_contention();
    for (const auto& [running_id, running] : std::map(queue.running.begin(), queue.running.end())) {
        finish(queue, running_id, now);
    }
    while (waiting_count(queue) > 0) {
        for (const auto& event : dispatch(queue, now)) {
            finish(queue, event.id, now);
        }
    }
    for (int i = 0; i < 100; ++i) {
        submit(queue, make_request(++id, core::priority::normal, "under", 0.1), now);
        now += std::chrono::seconds(1);
        CHECK(finish(queue, id, now));
    }
    const auto started = count_starts_under_contention();
    CHECK(started.at("under") >= 2);
    CHECK(started.at("exact") >= 2);
}
