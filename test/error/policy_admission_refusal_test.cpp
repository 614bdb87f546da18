#include <doctest/doctest.h>

#include "policy/admission_queue.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::error_kind;

namespace {

const core::steady_time start_time{std::chrono::hours(1)};

admission_request make_request(std::uint64_t id, double work) {
    admission_request request;
    request.id = id;
    request.account = "acme";
    request.work = work;
    return request;
}

admission_queue make_small_queue(double capacity) {
    auto settings = default_admission_settings(deployment_profile::low_latency);
    settings.queue_limits = {4, 4, 4};
    settings.account_queue_share = 0.5;
    return make_admission_queue(settings, capacity, start_time);
}

} // namespace

TEST_CASE("work that can't be served in time is refused at once as not run") {
    // Guards against a refusal that comes only after a wait, and against one that asks for a retry too soon.
    auto queue = make_small_queue(1);
    CHECK(submit(queue, make_request(1, 1), start_time).state == admission_state::admitted);
    CHECK(submit(queue, make_request(2, 4), start_time).state == admission_state::queued);
    auto late = make_request(3, 1);
    late.deadline = start_time + std::chrono::seconds(3);
    const auto decision = submit(queue, late, start_time);
    CHECK(decision.state == admission_state::refused);
    REQUIRE(decision.error);
    CHECK(decision.error->kind == error_kind::deadline_unreachable);
    CHECK(decision.error->retry_after >= std::chrono::seconds(4));
    CHECK(decision.error->message.find("normal work of account \"acme\"") != std::string::npos);
    CHECK(core::error_answer_for(decision.error->kind).execution == core::execution::not_run);
}

TEST_CASE("a full queue refuses as overloaded and a passed deadline empties it") {
    // Guards against an unbounded queue and against entries that stay queued after their deadline.
    auto queue = make_small_queue(1);
    CHECK(submit(queue, make_request(1, 0.1), start_time).state == admission_state::admitted);
    CHECK(submit(queue, make_request(2, 0.1), start_time).state == admission_state::queued);
    CHECK(submit(queue, make_request(3, 0.1), start_time).state == admission_state::queued);
    const auto decision = submit(queue, make_request(4, 0.1), start_time);
    REQUIRE(decision.error);
    CHECK(decision.error->kind == error_kind::overloaded);
    const auto events = dispatch(queue, start_time + std::chrono::seconds(20));
    REQUIRE(events.size() == 2);
    CHECK(events[0].action == admission_action::refuse);
    CHECK(events[0].error->kind == error_kind::deadline_unreachable);
    CHECK(waiting_count(queue) == 0);
}

TEST_CASE("a node without capacity starts nothing until it has some") {
    // Guards against requests that start while all upstreams are gone, and against a queue that doesn't
    // recover.
    auto queue = make_small_queue(0);
    CHECK(submit(queue, make_request(1, 1), start_time).state == admission_state::refused);
    set_capacity(queue, 0.2, start_time);
    CHECK(submit(queue, make_request(2, 0.1), start_time).state == admission_state::admitted);
    CHECK(submit(queue, make_request(3, 0.1), start_time).state == admission_state::queued);
    CHECK(dispatch(queue, start_time).empty());
    CHECK(finish(queue, 2, start_time));
    CHECK_FALSE(finish(queue, 2, start_time));
    CHECK_FALSE(cancel(queue, 2, start_time));
    CHECK(dispatch(queue, start_time).size() == 1);
}

TEST_CASE("a paused request waits for its remaining work and resumes when a slot is free") {
    // Guards against a batch stream that is lost, or restarted from the beginning, when urgent work takes its
    // slot.
    auto queue = make_small_queue(2);
    for (const std::uint64_t id : {1, 2}) {
        auto batch = make_request(id, 10);
        batch.priority = core::priority::batch;
        batch.pausable = true;
        CHECK(submit(queue, batch, start_time).state == admission_state::admitted);
    }
    auto urgent = make_request(3, 1);
    urgent.priority = core::priority::urgent;
    auto now = start_time + std::chrono::seconds(4);
    CHECK(submit(queue, urgent, now).state == admission_state::queued);
    const auto events = dispatch(queue, now);
    REQUIRE(events.size() == 2);
    CHECK(events[0].action == admission_action::pause);
    CHECK(events[1].action == admission_action::start);
    CHECK(events[1].id == 3);
    CHECK(queue.running.size() == 2);
    CHECK(queue.waiting[2].queued_work == doctest::Approx(6.3));
    now += std::chrono::seconds(1);
    CHECK(finish(queue, 3, now));
    const auto resumed = dispatch(queue, now);
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0].id == events[0].id);
}
