#include <algorithm>
#include <random>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/crash_suspects.h"

using namespace figspoke;
using namespace figspoke::policy;

namespace {

core::steady_time at(int s) {
    return core::steady_time(std::chrono::hours(1) + std::chrono::seconds(s));
}

} // namespace

TEST_CASE("the crashing request is refused after two crashes alone and concurrent requests are cleared") {
    // Guards against a request that crashes one upstream after another, and against the refusal of requests
    // that only shared a batch with it.
    crash_suspects suspects;
    record_crash(suspects, "a/1", "u1", {{"bad", false}, {"good", false}}, at(0));
    CHECK(run_mode_of(suspects, "bad", at(1)) == run_mode::alone);
    CHECK(run_mode_of(suspects, "good", at(1)) == run_mode::alone);
    CHECK(run_mode_of(suspects, "other", at(1)) == run_mode::normal);
    record_passed_alone(suspects, "a/1", "good", at(5));
    record_crash(suspects, "a/1", "u2", {{"bad", true}}, at(5));
    CHECK(run_mode_of(suspects, "good", at(6)) == run_mode::normal);
    CHECK(run_mode_of(suspects, "bad", at(6)) == run_mode::alone);
    record_crash(suspects, "a/1", "u3", {{"bad", true}}, at(10));
    CHECK(run_mode_of(suspects, "bad", at(11)) == run_mode::refused);
    CHECK(run_mode_of(suspects, "bad", at(10) + suspects.settings.expiry) == run_mode::normal);
}

TEST_CASE("repeated requests that were sent after a crash was known count as separate crashes") {
    // Guards against counting quick repeats on one upstream as one crash, which let a request crash an
    // upstream that restarts fast again and again.
    crash_suspects suspects;
    record_crash(suspects, "a/1", "u1", {{"bad", false, crashes_seen(suspects, "u1")}}, at(0));
    record_crash(suspects, "a/1", "u1", {{"bad", true, crashes_seen(suspects, "u1")}}, at(0));
    CHECK(run_mode_of(suspects, "bad", at(1)) == run_mode::alone);
    const auto seen = crashes_seen(suspects, "u1");
    record_crash(suspects, "a/1", "u1", {{"bad", true, seen}}, at(1));
    record_crash(suspects, "b/1", "u1", {{"bad", true, seen}}, at(1));
    CHECK(attributed_crashes(suspects, "bad", at(1)) == 2);
    CHECK(run_mode_of(suspects, "bad", at(1)) == run_mode::refused);
}

TEST_CASE("a crash that two nodes report is attributed to neither request until one is cleared") {
    // Guards against attributing a crash to a request that waited on the upstream while another crashed it.
    crash_suspects a;
    crash_suspects b;
    record_crash(a, "a/1", "u1", {{"bad", true}}, at(0));
    record_crash(b, "b/1", "u1", {{"good", true}}, at(0));
    record_crash(a, "a/1", "u2", {{"bad", true}}, at(10));
    record_crash(b, "b/1", "u2", {{"good", true}}, at(10));
    merge_events(a, export_events(b, at(11)), at(11));
    CHECK(run_mode_of(a, "bad", at(12)) == run_mode::alone);
    CHECK(run_mode_of(a, "good", at(12)) == run_mode::alone);
    record_passed_alone(a, "a/1", "good", at(15));
    CHECK(run_mode_of(a, "good", at(16)) == run_mode::normal);
    CHECK(run_mode_of(a, "bad", at(16)) == run_mode::refused);
}

TEST_CASE("no fingerprint is refused without attributed crashes, in whichever order events merge") {
    // Guards against refusals caused by crashes of concurrent requests, duplicated events or their order.
    CHECK(rc::check([](std::uint32_t seed) {
        std::mt19937 random(seed);
        crash_suspects left;
        crash_suspects right;
        for (int i = 0; i < 30; ++i) {
            auto& suspects = random() % 2 == 0 ? left : right;
            const auto* const source = &suspects == &left ? "a/1" : "b/1";
            const auto name = "r" + std::to_string(random() % 4);
            const auto upstream = "u" + std::to_string(random() % 3);
            if (random() % 4 == 0) {
                record_passed_alone(suspects, source, name, at(5 * i));
            } else {
                record_crash(suspects, source, upstream, {{name, random() % 2 == 0}, {"calm", false}},
                             at(5 * i));
            }
        }
        auto events = export_events(left, at(200));
        const auto more = export_events(right, at(200));
        events.insert(events.end(), more.begin(), more.end());
        events.insert(events.end(), events.begin(), events.begin() + 3);
        std::shuffle(events.begin(), events.end(), random);
        crash_suspects shuffled;
        merge_events(shuffled, events, at(200));
        merge_events(left, more, at(200));
        for (const auto* const name : {"r0", "r1", "r2", "r3", "calm"}) {
            const auto mode = run_mode_of(left, name, at(200));
            RC_ASSERT(mode == run_mode_of(shuffled, name, at(200)));
            const auto alone = std::count_if(events.begin(), events.end(), [&](const auto& event) {
                return event.fingerprint == name && event.kind == crash_event_kind::alone;
            });
            RC_ASSERT(mode != run_mode::refused || alone >= 2);
        }
        RC_ASSERT(run_mode_of(left, "calm", at(200)) != run_mode::refused);
    }));
}

TEST_CASE("the memory of suspects is bounded") {
    // Guards against a caller that exhausts the memory of every node by causing crashes.
    crash_suspects suspects;
    suspects.settings.max_events = 50;
    for (int i = 0; i < 200; ++i) {
        record_crash(suspects, "a/1", "u1", {{"r" + std::to_string(i), false}}, at(i));
    }
    CHECK(suspects.events.size() == 50);
    CHECK(suspects.by_fingerprint.size() == 50);
    expire_events(suspects, at(1000));
    CHECK(suspects.events.empty());
    CHECK(suspects.by_fingerprint.empty());
}
