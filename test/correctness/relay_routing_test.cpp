#include <map>
#include <set>

#include <doctest/doctest.h>

#include "policy/crash_ledger.h"
#include "policy/relay_queue.h"
#include "policy/rollout_plan.h"
#include "policy/rollout_verdict.h"
#include "policy/session_pins.h"
#include "state/route_table.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;
using test::at;

namespace {

state::route_table two_routes() {
    state::route_table table;
    state::relay_route broad;
    broad.name = "broad";
    broad.prefix = "/a/";
    state::relay_route narrow;
    narrow.name = "narrow";
    narrow.prefix = "/a/b/";
    table.hosts["h"] = {broad, narrow};
    state::order_routes(table);
    return table;
}

} // namespace

TEST_CASE("the longest prefix of a host decides the route") {
    const auto table = two_routes();
    CHECK(state::find_route(table, "h", "/a/b/c")->name == "narrow");
    CHECK(state::find_route(table, "h:80", "/a/x?q=/a/b/")->name == "broad");
    CHECK(state::find_route(table, "h", "/other/") == nullptr);
    CHECK(state::find_route(table, "g", "/a/b/c") == nullptr);
}

TEST_CASE("a split route follows its weights and never names a service without one") {
    state::relay_route route;
    route.services = {{"a", 90}, {"none", 0}, {"b", 10}};
    std::map<std::string, int> hits;
    for (int i = 0; i < 1000; ++i) {
        ++hits[state::choose_service(route, i / 1000.0)];
    }
    CHECK(hits["a"] == 900);
    CHECK(hits["b"] == 100);
    CHECK(hits.count("none") == 0);
    CHECK(state::choose_service({}, 0.5).empty());
}

TEST_CASE("urgent work starts first, and waiting work rises") {
    // Guards against the starvation of the least urgent rank during a flood of the most urgent one.
    relay_queue queue;
    const relay_queue_settings settings;
    CHECK(add_waiting(queue, settings, "s", {1, 2, at(0), milliseconds(1000)}));
    CHECK(add_waiting(queue, settings, "s", {2, 0, at(100), milliseconds(1000)}));
    CHECK(next_waiting(queue, settings, "s", at(100)) == 2);
    CHECK(add_waiting(queue, settings, "s", {3, 0, at(1200), milliseconds(1000)}));
    remove_waiting(queue, "s", 2);
    CHECK(next_waiting(queue, settings, "s", at(1200)) == 1);
    remove_waiting(queue, "s", 1);
    remove_waiting(queue, "s", 3);
    CHECK_FALSE(next_waiting(queue, settings, "s", at(1200)).has_value());
    CHECK(waiting_for(queue, "s") == 0);
}

TEST_CASE("a full queue takes no more") {
    relay_queue queue;
    relay_queue_settings settings;
    settings.max_waiting = 2;
    CHECK(add_waiting(queue, settings, "s", {1, 0, at(0), milliseconds(10)}));
    CHECK(add_waiting(queue, settings, "s", {2, 0, at(0), milliseconds(10)}));
    CHECK_FALSE(add_waiting(queue, settings, "s", {3, 0, at(0), milliseconds(10)}));
}

TEST_CASE("a request is refused after the third crash that it took part in") {
    // Guards against one request that takes down one upstream after the other.
    crash_ledger ledger;
    CHECK(record_crash(ledger, {}, 7, "u1", at(0)));
    CHECK_FALSE(record_crash(ledger, {}, 7, "u1", at(200)));
    CHECK(record_crash(ledger, {}, 7, "u2", at(300)));
    CHECK_FALSE(is_refused(ledger, {}, 7));
    CHECK(record_crash(ledger, {}, 7, "u3", at(400)));
    CHECK(is_refused(ledger, {}, 7));
    CHECK_FALSE(is_refused(ledger, {}, 8));
    expire_crashes(ledger, {}, at(100000));
    CHECK_FALSE(is_refused(ledger, {}, 7));
}

TEST_CASE("a broken connection counts as a crash only where the upstream is found to be down") {
    // Found by reading: connections are reset for other reasons, and many callers send the same lookup.
    crash_ledger ledger;
    for (int i = 0; i < 10; ++i) {
        note_broken_run(ledger, {}, {7, "u" + std::to_string(i), at(i * 100)});
    }
    CHECK(crash_count(ledger, 7) == 0);
    CHECK(confirm_crash(ledger, {}, "u1", at(1000)).empty());
    CHECK(confirm_crash(ledger, {}, "u2", at(1000)).empty());
    CHECK(confirm_crash(ledger, {}, "u3", at(1000)) == std::vector<std::uint64_t>{7});
    CHECK(confirm_crash(ledger, {}, "u4", at(9000)).empty());
    CHECK(crash_count(ledger, 7) == 3);
}

TEST_CASE("a request that succeeds clears its fingerprint, also against late reports of earlier crashes") {
    crash_ledger ledger;
    record_crash(ledger, {}, 7, "u1", at(0));
    record_crash(ledger, {}, 7, "u2", at(100));
    clear_fingerprint(ledger, 7, at(200));
    CHECK_FALSE(record_crash(ledger, {}, 7, "u3", at(150)));
    CHECK(crash_count(ledger, 7) == 0);
    CHECK(record_crash(ledger, {}, 7, "u3", at(300)));
}

TEST_CASE("a conversation that runs on the old version stays there during the trial") {
    // Found by hunts: conversations under way at the order were moved, which changes their version.
    session_pins pins;
    rollout_side side;
    side.place = 0.05;
    side.share = 0.09;
    note_session(pins, 11, false, at(0));
    CHECK_FALSE(takes_target(pins, 11, side, at(1000)));
    CHECK(takes_target(pins, 12, side, at(1000)));
    note_session(pins, 11, false, at(4000));
    CHECK_FALSE(takes_target(pins, 11, side, at(8000)));
    CHECK(takes_target(pins, 11, side, at(9500)));
    side.trial = false;
    CHECK(takes_target(pins, 11, side, at(4100)));
}

TEST_CASE("a conversation on the target version stays there, and late news of the old one change nothing") {
    session_pins pins;
    rollout_side side;
    side.place = 0.05;
    side.share = 0.09;
    note_session(pins, 11, true, at(2000));
    note_session(pins, 11, false, at(1000));
    CHECK(takes_target(pins, 11, side, at(2100)));
}

TEST_CASE("the place of a conversation is fixed and spread evenly") {
    int below = 0;
    for (std::uint64_t session = 0; session < 10000; ++session) {
        below += session_place(session) < 0.1 ? 1 : 0;
    }
    CHECK(below > 900);
    CHECK(below < 1100);
    CHECK(session_place(5) == session_place(5));
}

TEST_CASE("a version that fails a third of its requests is found within fifty bad answers") {
    // The bound on exposure counts from the fiftieth bad answer.
    version_counts old{400, 390, 10, 40000};
    version_counts target;
    int bad = 0;
    while (judge_version(target, old, {}).verdict != rollout_verdict::bad) {
        ++target.sent;
        if (target.sent % 3 == 0) {
            ++target.bad;
            ++bad;
        } else {
            ++target.good;
            target.first_byte_ms += 100;
        }
        REQUIRE(bad < 50);
    }
    CHECK(bad < 25);
}

TEST_CASE("a version that fails as seldom as the old one is found good, and a slow one bad") {
    const version_counts old{1000, 860, 140, 86000};
    CHECK(judge_version({50, 43, 7, 4300}, old, {}).verdict == rollout_verdict::good);
    CHECK(judge_version({20, 20, 0, 16000}, old, {}).verdict == rollout_verdict::bad);
    CHECK(judge_version({5, 5, 0, 500}, old, {}).verdict == rollout_verdict::unknown);
}

TEST_CASE("the share of a roll-out grows only after the trial and only for a good version") {
    const rollout_plan_settings settings;
    const auto share = [&](int ms, rollout_verdict verdict) {
        return planned_share({milliseconds(ms), milliseconds(10000)}, verdict, 0.15, settings);
    };
    CHECK(share(100, rollout_verdict::good) == share(5000, rollout_verdict::good));
    CHECK(share(100, rollout_verdict::unknown) <= 0.15);
    CHECK(share(9000, rollout_verdict::unknown) == share(100, rollout_verdict::unknown));
    CHECK(share(9000, rollout_verdict::good) == 1.0);
    CHECK(share(9000, rollout_verdict::bad) == 0.0);
}

TEST_CASE("a repeat stays on a version that was found good once the trial is over") {
    // Found on a day of 89 nodes: an upstream of the new version left, and the conversations that it served
    // went back to the old version.
    const auto leaves = [](int ms, rollout_verdict verdict) {
        return repeat_leaves_target({milliseconds(ms), milliseconds(10000)}, verdict, {});
    };
    CHECK_FALSE(leaves(7600, rollout_verdict::good));
    CHECK(leaves(7600, rollout_verdict::unknown));
    CHECK(leaves(7600, rollout_verdict::bad));
    CHECK(leaves(2000, rollout_verdict::good));
}

TEST_CASE("another node writes a roll-out's state where the first one fails to") {
    // Found on a heavy day: the store turned the first node away until the deadline of the roll-out had
    // passed.
    CHECK(may_write_state(milliseconds(0), 0));
    CHECK_FALSE(may_write_state(milliseconds(0), 1));
    CHECK(may_write_state(milliseconds(1000), 1));
    CHECK_FALSE(may_write_state(milliseconds(1000), 2));
    CHECK(may_write_state(milliseconds(5000), 300));
}

TEST_CASE("a roll-out completes only when the old version has nothing left or time is nearly over") {
    // Completion stops the old upstreams at once, so requests there would be cut off.
    const rollout_clock early{milliseconds(7000), milliseconds(10000)};
    const rollout_clock late{milliseconds(9500), milliseconds(10000)};
    const auto full = milliseconds(2000);
    CHECK_FALSE(may_complete(early, rollout_verdict::good, full, 3, {}));
    CHECK(may_complete(early, rollout_verdict::good, full, 0, {}));
    CHECK(may_complete(late, rollout_verdict::good, full, 3, {}));
    CHECK_FALSE(may_complete(late, rollout_verdict::unknown, full, 0, {}));
    CHECK_FALSE(may_complete(late, rollout_verdict::good, milliseconds(100), 0, {}));
}
