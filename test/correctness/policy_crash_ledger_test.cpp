#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

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

// Ids of parts of a prompt, numbered from `first` on.
std::vector<std::string> part_ids(int first, std::size_t count) {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back(std::to_string(first + int(i)));
    }
    return ids;
}

request_fingerprints fingerprints_of(std::uint64_t request, const std::vector<std::string>& ids) {
    return make_fingerprints(request, std::vector<std::string_view>(ids.begin(), ids.end()), {});
}

bool contains(const request_fingerprints& fingerprints, std::uint64_t fingerprint) {
    return std::count(fingerprints.begin(), fingerprints.end(), fingerprint) == 1;
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
    record_broken_send(ledger, {}, {first_part}, {"u1", at(0), true});
    record_broken_send(ledger, {}, {first_part}, {"u1", at(1400), true});
    record_broken_send(ledger, {}, {first_part}, {"u1", at(1600), false});
    confirm_crash(ledger, {}, "u1", at(1600));
    CHECK(crash_count(ledger, first_part) == 1U);
    record_broken_send(ledger, {}, {first_part}, {"u2", at(3000), false});
    discard_unconfirmed_crashes(ledger, "u2", at(3001));
    record_broken_send(ledger, {}, {first_part}, {"u2", at(5000), false});
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

TEST_CASE("each shared part of a prompt has a fingerprint, whatever its place") {
    // Guards against a part beyond some place of long prompts that crashes upstreams without end.
    const auto deadly = fingerprints_of(1, {"dead"});
    REQUIRE(deadly.size() == 2U);
    for (const std::size_t place : {0U, 31U, 32U, 35U, 1399U}) {
        CAPTURE(place);
        auto ids = part_ids(0, 1400);
        ids.at(place) = "dead";
        const auto request = fingerprints_of(2, ids);
        CHECK(request.size() == 1401U);
        CHECK(contains(request, 2));
        CHECK(contains(request, deadly.front()));
    }
}

TEST_CASE("the fingerprints of a prompt are bounded, and parts that come twice or have no id add none") {
    // Guards against callers that take a node's memory and time with the list of their prompt's parts.
    const crash_ledger_settings settings;
    CHECK(fingerprints_of(1, {"a", "b", "a", "", "b"}).size() == 3U);
    auto ids = part_ids(0, 3 * settings.max_parts);
    const auto request = fingerprints_of(1, ids);
    CHECK(request.size() == settings.max_parts + 1);
    CHECK(contains(request, 1));
    std::reverse(ids.begin(), ids.end());
    CHECK(fingerprints_of(1, ids) == request);
}

TEST_CASE("the deadly part of long prompts that share nothing else is found after four crashes") {
    // Guards against a ledger that thousands of parts of single requests fill, so that it forgets the cause.
    constexpr std::size_t parts = 1300;
    constexpr int running = 5;
    crash_ledger ledger;
    int next_id = 0;
    for (int crash = 0; crash < 4; ++crash) {
        const auto upstream = "u" + std::to_string(crash);
        for (int i = 0; i < running; ++i) {
            auto ids = part_ids(next_id, parts);
            next_id += int(parts);
            if (i == 0) {
                ids.at(std::size_t(crash) * 400) = "dead";
            }
            record_broken_send(ledger, {}, fingerprints_of(std::uint64_t(next_id), ids),
                               {upstream, at(crash * 1000 + i), false});
        }
        confirm_crash(ledger, {}, upstream, at(crash * 1000 + 300));
    }
    CHECK(ledger.crashes.size() <= crash_ledger_settings{}.max_fingerprints);
    CHECK(ledger.ranks.size() == ledger.crashes.size());
    CHECK(is_refused(ledger, {}, fingerprints_of(1, {"own", "dead"})));
    CHECK_FALSE(is_refused(ledger, {}, fingerprints_of(1, {std::to_string(next_id - 1), "own"})));
    CHECK(likely_causes(ledger, {}, 10).size() == 1U);
}

TEST_CASE("a full ledger keeps the fingerprints with the most crashes") {
    // Guards against a cause that is forgotten between its crashes.
    const crash_ledger_settings settings;
    crash_ledger ledger;
    record_crash_of(ledger, "u1", 0, {{deadly_part}});
    record_crash_of(ledger, "u2", 500, {{deadly_part}});
    for (std::uint64_t i = 0; i < settings.max_fingerprints; ++i) {
        record_crash(ledger, settings, 1000 + i, "w", at(1000 + int(i)));
    }
    CHECK(ledger.crashes.size() == settings.max_fingerprints);
    CHECK(crash_count(ledger, deadly_part) == 2U);
    CHECK(crash_count(ledger, 1000) == 0U);
    record_crash_of(ledger, "u3", 30000, {{deadly_part}});
    CHECK(is_refused(ledger, settings, {deadly_part}));
}

TEST_CASE("the broken sends that wait for a confirmation are bounded, and the newest are kept") {
    const crash_ledger_settings settings;
    crash_ledger ledger;
    const auto first = fingerprints_of(1, part_ids(0, 1000));
    for (int i = 0; i < 40; ++i) {
        record_broken_send(ledger, settings, first, {"u" + std::to_string(i), at(i), false});
        CHECK(ledger.unconfirmed_fingerprints <= settings.max_fingerprints);
    }
    confirm_crash(ledger, settings, "u39", at(100));
    CHECK(crash_count(ledger, first.front()) == 1U);
    confirm_crash(ledger, settings, "u0", at(100));
    CHECK(crash_count(ledger, first.front()) == 1U);
    discard_unconfirmed_crashes(ledger, "u38", at(100));
    record_broken_send(ledger, settings, {7}, {"v", at(100000), false});
    CHECK(ledger.unconfirmed_fingerprints == 1U);
}

TEST_CASE("an upstream that accepts a connection at once after one broke may have crashed with it") {
    // Guards against crashes that are never counted: a process that ends closes its connections first, and
    // its listening socket a moment later.
    const crash_ledger_settings settings;
    crash_ledger ledger;
    record_broken_send(ledger, settings, {7}, {"u1", at(1000), false});
    CHECK(record_accepted_connection(ledger, settings, "u1", at(1001)));
    confirm_crash(ledger, settings, "u1", at(1100));
    CHECK(crash_count(ledger, 7) == 1U);
    record_broken_send(ledger, settings, {8}, {"u1", at(3000), true});
    CHECK_FALSE(record_accepted_connection(ledger, settings, "u1", at(3001)));
    record_broken_send(ledger, settings, {7}, {"u2", at(5000), false});
    record_broken_send(ledger, settings, {7}, {"u2", at(5050), false});
    record_broken_send(ledger, settings, {7}, {"u3", at(5000), false});
    CHECK(record_accepted_connection(ledger, settings, "u2", at(5000) + settings.survival_time));
    CHECK_FALSE(record_accepted_connection(ledger, settings, "u2", at(5050) + settings.survival_time));
    confirm_crash(ledger, settings, "u2", at(5400));
    CHECK(crash_count(ledger, 7) == 1U);
    confirm_crash(ledger, settings, "u3", at(5400));
    CHECK(crash_count(ledger, 7) == 2U);
}

TEST_CASE("the ledger's order of importance follows all its changes") {
    // Guards against a fingerprint that is refused, told or removed by an order that is out of date.
    const auto holds = rc::check([] {
        crash_ledger_settings settings;
        settings.max_fingerprints = 6;
        crash_ledger ledger;
        for (int step = 0; step < 60; ++step) {
            const auto fingerprint = *rc::gen::inRange<std::uint64_t>(1, 10);
            const auto now = at(step * 2000);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                clear_fingerprint(ledger, fingerprint, now);
                break;
            case 1:
                clear_crashes_until(ledger, fingerprint, at(*rc::gen::inRange(0, step * 2000 + 1)));
                break;
            case 2:
                expire_crashes(ledger, settings, now);
                break;
            default:
                record_crash(ledger, settings, fingerprint, "u" + std::to_string(*rc::gen::inRange(0, 3)),
                             now);
            }
            RC_ASSERT(ledger.ranks.size() == ledger.crashes.size());
            RC_ASSERT(ledger.crashes.size() <= settings.max_fingerprints);
            for (const auto& rank : ledger.ranks) {
                const auto& crashes = ledger.crashes.at(rank.fingerprint);
                RC_ASSERT(crashes.size() == rank.crashes);
                RC_ASSERT(std::all_of(crashes.begin(), crashes.end(),
                                      [&](const confirmed_crash& crash) { return crash.at <= rank.latest; }));
            }
        }
    });
    CHECK(holds);
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
