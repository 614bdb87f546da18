#include <doctest/doctest.h>

#include "policy/rollout_verdict.h"
#include "policy/stream_pace.h"

using namespace figspoke::policy;
using std::chrono::milliseconds;

TEST_CASE("a version whose streams are several times slower is found bad although its first byte is early") {
    // Guards against a slow version that is rolled out and kept (EXPOSURE).
    stream_paces paces;
    CHECK_FALSE(is_slow_stream(paces, {}, "m", {40, milliseconds(8000)}));
    version_counts old;
    for (int i = 0; i < 20; ++i) {
        const paced_events usual{40, milliseconds(900 + 30 * (i % 7))};
        CHECK_FALSE(is_slow_stream(paces, {}, "m", usual));
        learn_pace(paces, {}, "m", usual);
        ++old.sent;
        ++old.good;
        old.first_byte_ms += 300;
    }
    version_counts target;
    int answers = 0;
    while (evaluate_version(target, old, {}).verdict == rollout_verdict::unknown && answers < 50) {
        // Half of the streams take eight times as long.
        const paced_events stream{5, milliseconds(answers % 2 == 0 ? 800 : 100)};
        ++target.sent;
        ++target.good;
        target.first_byte_ms += 300;
        target.bad += is_slow_stream(paces, {}, "m", stream) ? 1 : 0;
        ++answers;
    }
    CHECK(evaluate_version(target, old, {}).verdict == rollout_verdict::bad);
    CHECK(answers <= 10);
}

TEST_CASE("streams of an idle slow version are compared with those of idle upstreams") {
    // Guards against a slow version that looks sound because the old one has all the load.
    stream_paces paces;
    for (int i = 0; i < 20; ++i) {
        learn_pace(paces, {}, "m", {40, milliseconds(700), 4});
        learn_pace(paces, {}, "m", {40, milliseconds(3000), 40});
    }
    CHECK(is_slow_stream(paces, {}, "m", {10, milliseconds(670), 3}));
    CHECK_FALSE(is_slow_stream(paces, {}, "m", {10, milliseconds(670), 36}));
    CHECK_FALSE(is_slow_stream(paces, {}, "m", {10, milliseconds(6700), 100}));
}

TEST_CASE("a stream under load and one of another model are not slow") {
    stream_paces paces;
    for (int i = 0; i < 20; ++i) {
        learn_pace(paces, {}, "small", {40, milliseconds(900)});
    }
    CHECK_FALSE(is_slow_stream(paces, {}, "small", {40, milliseconds(2000)}));
    CHECK_FALSE(is_slow_stream(paces, {}, "large", {40, milliseconds(7000)}));
    CHECK_FALSE(is_slow_stream(paces, {}, "small", {3, milliseconds(7000)}));
    CHECK(is_slow_stream(paces, {}, "small", {10, milliseconds(900)}));
}

TEST_CASE("single delayed events make no stream slow, and don't hide one that is") {
    // Guards against a slow version among streams that prefills of other prompts delay now and then.
    stream_paces paces;
    const auto stream = [](int usual_ms, int delayed_ms) {
        event_gaps gaps;
        std::int64_t total = 0;
        for (int i = 0; i < 12; ++i) {
            const int gap = i % 6 == 5 ? delayed_ms : usual_ms;
            record_gap(gaps, milliseconds(gap), 1);
            total += gap;
        }
        return paced_events{13, milliseconds(total), 4, median_gap_ms(gaps)};
    };
    for (int i = 0; i < 10; ++i) {
        learn_pace(paces, {}, "m", stream(20, 500));
    }
    CHECK_FALSE(is_slow_stream(paces, {}, "m", stream(22, 900)));
    CHECK(is_slow_stream(paces, {}, "m", stream(80, 80)));
    CHECK_FALSE(median_gap_ms({}).has_value());
}
