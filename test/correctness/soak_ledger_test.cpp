#include <doctest/doctest.h>

#include "platform/soak/fault_plan.h"
#include "platform/soak/promise_ledger.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::soak;
using test::at;

namespace {

// A request of key "k" that was sent at 10 s and ran once on "e".
promise_ledger one_run(request_kind kind) {
    promise_ledger ledger;
    ledger.sent["r"] = {kind, "k", at(10000)};
    ledger.runs["r"] = {{"e", at(10010), true}};
    return ledger;
}

} // namespace

TEST_CASE("the soak's ledger finds each broken promise, and none where all are kept") {
    // A check that can't fail would let every seed pass.
    CHECK(broken_promises(one_run(request_kind::at_most_once), {}).empty());

    auto twice = one_run(request_kind::at_most_once);
    twice.runs["r"].push_back({"f", at(10500), false});
    CHECK(broken_promises(twice, {}).size() == 1U);
    twice.sent["r"].kind = request_kind::repeatable;
    CHECK(broken_promises(twice, {}).empty());

    auto refused = one_run(request_kind::repeatable);
    refused.promised_not_run["r"] = 503;
    CHECK(broken_promises(refused, {}).size() == 1U);

    auto revoked = one_run(request_kind::repeatable);
    revoked.revoked_keys["k"] = at(6999);
    CHECK(broken_promises(revoked, {}).size() == 1U);
    revoked.revoked_keys["k"] = at(7001);
    CHECK(broken_promises(revoked, {}).empty());

    auto closed = one_run(request_kind::repeatable);
    closed.without_tenants.push_back({at(6999), at(20000)});
    CHECK(broken_promises(closed, {}).size() == 1U);
    closed.without_tenants.back().until = at(9999);
    CHECK(broken_promises(closed, {}).empty());

    auto unasked = one_run(request_kind::repeatable);
    unasked.runs["nobody"] = {{"e", at(0), true}};
    CHECK(broken_promises(unasked, {}).size() == 1U);
}

TEST_CASE("answers that are lost and engines that drain count in calm only") {
    auto cut = one_run(request_kind::repeatable);
    cut.cut_off["r"] = {at(10000), at(10100)};
    CHECK(broken_promises(cut, {}).size() == 1U);
    cut.faults.push_back({at(6000), at(7500)});
    CHECK(broken_promises(cut, {}).empty());

    auto cut_midway = one_run(request_kind::repeatable);
    cut_midway.sent["r"].deadline = core::milliseconds(2000);
    cut_midway.runs["r"].front().completed = false;
    cut_midway.cut_off["r"] = {at(10000), at(11000)};
    CHECK(broken_promises(cut_midway, {}).size() == 1U);
    cut_midway.cut_off["r"].until = at(11990);
    CHECK(broken_promises(cut_midway, {}).empty());
    cut_midway.cut_off["r"].until = at(11000);
    cut_midway.runs["r"].front().broken_off = true;
    CHECK(broken_promises(cut_midway, {}).empty());

    auto drained = one_run(request_kind::repeatable);
    drained.drained_engines["e"] = at(8000);
    CHECK(broken_promises(drained, {}).size() == 1U);
    drained.drained_engines["e"] = at(8011);
    CHECK(broken_promises(drained, {}).empty());
}

TEST_CASE("an engine whose leaving was learned in calm gets nothing after a later fault either") {
    // A store that comes back from an older copy names such an engine as ready.
    auto drained = one_run(request_kind::repeatable);
    drained.drained_engines["e"] = at(6000);
    drained.faults = {{at(8100), at(9000)}};
    CHECK(broken_promises(drained, {}).size() == 1U);
    drained.restarts = {{at(6500), at(6900)}};
    CHECK(broken_promises(drained, {}).size() == 1U);
    drained.restarts = {{at(6500), at(7100)}};
    CHECK(broken_promises(drained, {}).empty());
    drained.restarts.clear();
    drained.faults = {{at(7900), at(9000)}};
    CHECK(broken_promises(drained, {}).empty());
}

TEST_CASE("a stream with a gap, a repeat or another's event is found, and one without its end isn't whole") {
    const auto whole = stream_event(1, false, "c") + stream_event(2, false, "c") + stream_event(3, true, "c");
    CHECK(check_stream(whole, "c").ended);
    CHECK_FALSE(check_stream(whole, "c").fault);
    CHECK_FALSE(check_stream(stream_event(1, false, "c"), "c").ended);
    CHECK(check_stream(stream_event(2, false, "c"), "c").fault);
    CHECK(check_stream(stream_event(1, false, "c") + stream_event(1, false, "c"), "c").fault);
    CHECK(check_stream(whole, "d").fault);
    CHECK(check_stream(whole + stream_event(4, false, "c"), "c").fault);
}

TEST_CASE("one seed gives one plan of faults, and planned work has no other") {
    plan_settings settings;
    settings.seed = 5;
    const auto plan = make_plan(settings);
    const auto again = make_plan(settings);
    REQUIRE(plan.size() == again.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
        CHECK(plan[i].at == again[i].at);
        CHECK(plan[i].kind == again[i].kind);
        CHECK(plan[i].at < settings.length);
        CHECK((i == 0 || plan[i - 1].at <= plan[i].at));
    }
    settings.planned_only = true;
    for (const auto& fault : make_plan(settings)) {
        CHECK(is_planned_work(fault.kind));
    }
}

TEST_CASE("returns of the store leave the other faults of a seed's plan unchanged") {
    plan_settings settings;
    settings.seed = 5;
    const auto plan = make_plan(settings);
    settings.returns = true;
    std::vector<planned_fault> others;
    bool returns = false;
    for (const auto& fault : make_plan(settings)) {
        if (fault.kind == fault_kind::store_return || fault.kind == fault_kind::store_turns_away) {
            returns = true;
        } else {
            others.push_back(fault);
        }
    }
    CHECK(returns);
    REQUIRE(others.size() == plan.size());
    for (std::size_t i = 0; i < plan.size(); ++i) {
        CHECK(others[i].at == plan[i].at);
        CHECK(others[i].kind == plan[i].kind);
    }
}
