#include <doctest/doctest.h>

#include "policy/answer_progress.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;

namespace {

core::steady_time at(int ms) {
    return core::steady_time(std::chrono::hours(1) + milliseconds(ms));
}

// A trace of a body: one piece of `bytes` bytes each `pause`. Returns when the body is given up, or the time
// of its end.
milliseconds play_body(const body_limits& limits, std::size_t bytes, milliseconds pause, std::size_t size) {
    auto now = limits.begun_at;
    for (std::size_t received = 0; received < size; received += bytes) {
        const auto wait = body_wait(limits, received, now);
        if (wait < pause) {
            return core::to_ms(now + wait - limits.begun_at);
        }
        now += pause;
    }
    return core::to_ms(now - limits.begun_at);
}

} // namespace

TEST_CASE("a slow but sound body is read to its end, and a byte now and then is given up") {
    // Guards against both halves of one fault: a timeout for each piece never ends a body that sends a byte
    // now and then, and a timeout for the whole body cuts a sound one on a slow link.
    const body_limits limits{at(0), at(20000), milliseconds(600), true};
    CHECK(play_body(limits, 4096, milliseconds(400), 40 * 4096) == milliseconds(16000));
    CHECK(play_body(limits, 1, milliseconds(200), 1000000) < milliseconds(1500));
    CHECK(play_body(limits, 4096, milliseconds(700), 40 * 4096) == milliseconds(600));
}

TEST_CASE("the body of a request that can't run elsewhere is read until the deadline and no longer") {
    const body_limits limits{at(0), at(3000), milliseconds(3000), false};
    CHECK(play_body(limits, 1, milliseconds(200), 10) == milliseconds(2000));
    CHECK(play_body(limits, 1, milliseconds(200), 1000000) == milliseconds(3000));
    CHECK(body_wait(limits, 1000000, at(3001)) == milliseconds(0));
}

TEST_CASE("a stream that stalls moves while enough time is left to finish elsewhere") {
    // In soak seeds 15019 and 15029 a stream with a deadline of under 3 s waited 4 s for its next event and
    // moved only when its time was over.
    const auto pauses = allowed_pauses({true, milliseconds(2800), milliseconds(300), milliseconds(0)});
    CHECK(pauses.longest <= milliseconds(1400));
    CHECK(pauses.silent_upstream <= pauses.longest);
}

TEST_CASE("a stream of a busy upstream is not moved") {
    // An engine that reads long prompts pauses its streams for seconds; moving them repeats the prefill when
    // the load is highest.
    CHECK(allowed_pauses({true, milliseconds(18000), milliseconds(2000), milliseconds(0)}).longest ==
          milliseconds(4000));
    const auto waiting = allowed_pauses({false, milliseconds(18000), milliseconds(6000), milliseconds(1500)});
    CHECK(waiting.longest == milliseconds(9000));
    CHECK(waiting.silent_upstream == milliseconds(4300));
}
