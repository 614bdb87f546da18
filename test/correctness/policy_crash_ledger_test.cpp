#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/crash_ledger.h"
#include "support/test_time.h"

using namespace figspoke::policy;
using figspoke::test::at;

namespace {

// Request fingerprints are 1 to 99, the parts of prompts that they share are 100 and above.
constexpr std::uint64_t deadly_part = 100;
constexpr std::uint64_t first_part = 101;
constexpr std::uint64_t other_part = 102;

void record_crash_of(crash_ledger& ledger, const std::string& upstream, int ms,
                     const std::vector<request_fingerprints>& running) {
    for (const auto& request : running) {
        for (const auto fingerprint : request) {
            record_crash(ledger, {}, fingerprint, upstream, at(ms));
        }
    }
}

} // namespace

TEST_CASE("requests that share only the part that crashes upstreams are refused") {
    // Guards against requests that are all different and take down one upstream after another.
    crash_ledger ledger;
    record_crash_of(ledger, "u1", 0, {{1, first_part, deadly_part}});
    record_crash_of(ledger, "u2", 500, {{2, deadly_part}});
    CHECK_FALSE(is_refused(ledger, {}, {4, deadly_part}));
    record_crash_of(ledger, "u3", 1000, {{3, deadly_part, other_part}});
    CHECK(is_refused(ledger, {}, {4, deadly_part}));
    CHECK(is_refused(ledger, {}, {4, first_part, deadly_part}));
    CHECK_FALSE(is_refused(ledger, {}, {4, first_part}));
    CHECK_FALSE(is_refused(ledger, {}, {4, other_part}));
}

TEST_CASE("sound requests that ran beside the cause of three crashes are served") {
    // Guards against the refusal of sound requests, which are repeated together with the cause.
    crash_ledger ledger;
    record_crash_of(ledger, "u1", 0, {{1, first_part, deadly_part}});
    for (int i = 0; i < 3; ++i) {
        record_crash_of(ledger, "v" + std::to_string(i), 500 + i * 500,
                        {{2, first_part, deadly_part}, {3, first_part, other_part}});
    }
    CHECK(is_refused(ledger, {}, {4, first_part, deadly_part}));
    CHECK_FALSE(is_refused(ledger, {}, {3, other_part}));
    clear_fingerprint(ledger, first_part, at(2500));
    CHECK(is_refused(ledger, {}, {4, first_part, deadly_part}));
    CHECK_FALSE(is_refused(ledger, {}, {3, first_part, other_part}));
}

TEST_CASE("requests that explain the crashes equally well are served until one of them stands out") {
    crash_ledger ledger;
    for (int i = 0; i < 3; ++i) {
        record_crash_of(ledger, "u" + std::to_string(i), i * 500, {{1, deadly_part}, {2, other_part}});
    }
    CHECK_FALSE(is_refused(ledger, {}, {3, deadly_part}));
    CHECK_FALSE(is_refused(ledger, {}, {3, other_part}));
    clear_fingerprint(ledger, other_part, at(2000));
    clear_fingerprint(ledger, 2, at(2000));
    // All three crashes may still be due to the one request that was running in each of them.
    CHECK_FALSE(is_refused(ledger, {}, {3, deadly_part}));
    record_crash_of(ledger, "u4", 2500, {{4, deadly_part}});
    CHECK(is_refused(ledger, {}, {3, deadly_part}));
    CHECK_FALSE(is_refused(ledger, {}, {3, other_part}));
}

TEST_CASE("one crash of an upstream is counted once although its sends ended at different times") {
    // Guards against the refusal of a part of most prompts after two crashes: a send that the node had closed
    // long before the crash, and one whose connection had broken for another reason, counted as crashes of
    // their own.
    crash_ledger ledger;
    record_unconfirmed_crash(ledger, {}, {first_part, "u1", at(0), true});
    record_unconfirmed_crash(ledger, {}, {first_part, "u1", at(1400), true});
    record_unconfirmed_crash(ledger, {}, {first_part, "u1", at(1600), false});
    confirm_crash(ledger, {}, "u1", at(1600));
    CHECK(crash_count(ledger, first_part) == 1U);
    record_unconfirmed_crash(ledger, {}, {first_part, "u2", at(3000), false});
    discard_unconfirmed_crashes(ledger, "u2", at(3001));
    record_unconfirmed_crash(ledger, {}, {first_part, "u2", at(5000), false});
    confirm_crash(ledger, {}, "u2", at(5000));
    CHECK(crash_count(ledger, first_part) == 2U);
}

TEST_CASE("a refused request may run once more before its crashes are certain") {
    // Guards against a sound part that stays refused because no request with it may show that it is sound.
    const crash_ledger_settings settings;
    crash_ledger ledger;
    for (int i = 0; i < 3; ++i) {
        record_crash(ledger, {}, deadly_part, "u" + std::to_string(i), at(i * 500));
    }
    CHECK(next_trial_time(ledger, settings, {9, deadly_part}) == at(1000) + settings.trial_delay);
    record_crash(ledger, {}, deadly_part, "u3", at(5000));
    CHECK_FALSE(next_trial_time(ledger, settings, {9, deadly_part}).has_value());
}

TEST_CASE("the record of a refused part outlives thousands of later crashes of other requests") {
    // Guards against a ledger that grows without bound, and against one that forgets what it refuses: no new
    // crash refreshes that record.
    crash_ledger ledger;
    for (int i = 0; i < 3; ++i) {
        record_crash(ledger, {}, deadly_part, "u" + std::to_string(i), at(i * 500));
    }
    const crash_ledger_settings settings;
    for (std::uint64_t i = 0; i < 2 * settings.max_fingerprints; ++i) {
        record_crash(ledger, settings, 1000 + i, "w", at(5000 + int(i)));
    }
    CHECK(ledger.crashes.size() == settings.max_fingerprints);
    CHECK(is_refused(ledger, settings, {deadly_part}));
    for (int i = 0; i < 100; ++i) {
        record_crash(ledger, settings, deadly_part, "x", at(20000 + i * 5000));
    }
    CHECK(ledger.crashes.at(deadly_part).size() == settings.max_crashes);
}

TEST_CASE("the deadly part is found among random sound requests and these stay served") {
    // Each crash takes the cause and some sound requests whose parts succeed now and then.
    const auto holds = rc::check([] {
        crash_ledger ledger;
        const crash_ledger_settings settings;
        int ms = 0;
        for (int crash = 0; crash < 6; ++crash) {
            ms += 700;
            const auto upstream = "u" + std::to_string(crash);
            record_crash_of(ledger, upstream, ms, {{std::uint64_t(1000 + crash), deadly_part}});
            const auto beside =
                *rc::gen::container<std::vector<std::uint64_t>>(6, rc::gen::inRange<std::uint64_t>(200, 230));
            record_crash_of(ledger, upstream, ms, {beside});
            const auto sound =
                *rc::gen::container<std::vector<std::uint64_t>>(8, rc::gen::inRange<std::uint64_t>(200, 230));
            for (const auto part : sound) {
                clear_fingerprint(ledger, part, at(ms + 300));
            }
        }
        RC_ASSERT(is_refused(ledger, settings, {9999, deadly_part}));
        for (std::uint64_t part = 200; part < 230; ++part) {
            RC_ASSERT(crash_count(ledger, part) == 6U || !is_refused(ledger, settings, {9999, part}));
        }
    });
    CHECK(holds);
}
