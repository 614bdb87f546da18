#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/upstream_restrictions.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;
using figspoke::test::at;

namespace {

constexpr milliseconds drain{3000};

restriction_verdict verdict_of(const upstream_notices& notices, std::int64_t incarnation, int ms) {
    restriction_input input;
    input.notice = find_notice(notices, "u", incarnation);
    return restriction_of(input, drain, at(ms));
}

} // namespace

TEST_CASE("an upstream that is leaving gets its last requests well before the end of its notice") {
    // Guards against requests that reach an upstream after it has gone, and against a notice that outlives
    // the restart (DRAIN).
    upstream_notices notices;
    CHECK(record_leaving(notices, "u", 7, at(0)));
    CHECK_FALSE(record_leaving(notices, "u", 7, at(1000)));
    CHECK(verdict_of(notices, 7, 100).reason == restriction::none);
    CHECK(verdict_of(notices, 7, 100).avoid);
    CHECK(verdict_of(notices, 7, 1500).reason == restriction::leaving);
    CHECK(verdict_of(notices, 7, 60000).reason == restriction::leaving);
    CHECK(verdict_of(notices, 8, 60000).reason == restriction::none);
    CHECK_FALSE(verdict_of(notices, 8, 60000).avoid);
    expire_notices(notices, at(0) + 2 * notice_lifetime,
                   [](const std::string&, std::int64_t incarnation) { return incarnation == 8; });
    CHECK(notices.upstreams.empty());
}

TEST_CASE("an upstream that said that it is leaving isn't used when its entry vanishes and comes back") {
    // A copy of the store, or an entry that lapsed and is written again, lists the same start once more.
    upstream_notices notices;
    record_leaving(notices, "u", 7, at(0));
    const auto known = [](const std::string&, std::int64_t) { return true; };
    const auto unknown = [](const std::string&, std::int64_t) { return false; };
    expire_notices(notices, at(60000), known);
    expire_notices(notices, at(61000), unknown);
    expire_notices(notices, at(120000), unknown);
    CHECK(verdict_of(notices, 7, 120000).reason == restriction::leaving);
    CHECK(verdict_of(notices, 8, 120000).reason == restriction::none);
    // Seen again, it is remembered as long as it is listed.
    for (int ms = 120000; ms <= 1200000; ms += 60000) {
        expire_notices(notices, at(ms), known);
    }
    CHECK(verdict_of(notices, 7, 1200000).reason == restriction::leaving);
    expire_notices(notices, at(1200000) + notice_lifetime + milliseconds(1), unknown);
    CHECK(notices.upstreams.empty());
}

TEST_CASE("an upstream that says that it is leaving is heard however many have said so before") {
    upstream_notices notices;
    for (std::size_t i = 0; i < max_upstream_notices; ++i) {
        record_leaving(notices, "gone-" + std::to_string(i), 1, at(int(i)));
    }
    CHECK(record_leaving(notices, "u", 7, at(10000)));
    CHECK(verdict_of(notices, 7, 12000).reason == restriction::leaving);
    CHECK(notices.upstreams.size() == max_upstream_notices);
    CHECK(notices.upstreams.count("gone-0") == 0);
    CHECK(notices.upstreams.count("gone-1") == 1);
}

TEST_CASE("an upstream that asked for silence gets no request before the end, and the nodes return spread") {
    // Guards against requests in the time for which an upstream asked a node for silence (BUDGET), and
    // against all nodes returning at once.
    core::steady_time earliest = core::steady_time::max();
    core::steady_time latest = core::steady_time::min();
    for (int node = 0; node < 60; ++node) {
        upstream_notices notices;
        record_quiet(notices, "u", 7, milliseconds(4000), "node-" + std::to_string(node), at(0));
        // A shorter time in the answer to an earlier request doesn't end it sooner.
        record_quiet(notices, "u", 7, milliseconds(100), "node-" + std::to_string(node), at(10));
        const auto verdict = verdict_of(notices, 7, 3999);
        CHECK(verdict.reason == restriction::quiet);
        CHECK(verdict_of(notices, 7, 5001).reason == restriction::none);
        CHECK(verdict_of(notices, 8, 100).reason == restriction::none);
        earliest = std::min(earliest, verdict.until);
        latest = std::max(latest, verdict.until);
    }
    CHECK(earliest >= at(4000));
    CHECK(latest - earliest > milliseconds(700));
}

TEST_CASE("each restriction keeps every request away, and the named reason is the lasting one") {
    // Guards against a way around an evacuation, a cold limit or a region (EVAC, FAILBACK, HOME).
    CHECK(rc::check([] {
        upstream_notices notices;
        restriction_input input;
        input.draining = *rc::gen::arbitrary<bool>();
        input.allowed_region = *rc::gen::arbitrary<bool>();
        input.evacuated = *rc::gen::arbitrary<bool>();
        const bool cold = *rc::gen::arbitrary<bool>();
        const bool named = *rc::gen::arbitrary<bool>();
        input.cold_send_at = cold ? at(200) : at(100);
        input.named_send_at = named ? core::steady_time::max() : core::steady_time::min();
        const bool quiet = *rc::gen::arbitrary<bool>();
        if (quiet) {
            record_quiet(notices, "u", 1, milliseconds(1000), "n", at(0));
        }
        input.notice = find_notice(notices, "u", 1);
        const auto verdict = restriction_of(input, drain, at(100));
        const bool lasting = input.draining || !input.allowed_region || input.evacuated;
        RC_ASSERT((verdict.reason != restriction::none) == (lasting || quiet || cold || named));
        RC_ASSERT(!lasting || verdict.until == core::steady_time::max());
        RC_ASSERT(!input.evacuated || input.draining || !input.allowed_region ||
                  verdict.reason == restriction::evacuated);
    }));
}

TEST_CASE("a request is refused at once only if every upstream is restricted") {
    const restriction_verdict evacuated{restriction::evacuated};
    const restriction_verdict quiet{restriction::quiet, at(900)};
    const restriction_verdict free{restriction::none};
    CHECK_FALSE(first_to_end({}).has_value());
    CHECK_FALSE(first_to_end({evacuated, free}).has_value());
    CHECK(first_to_end({evacuated, quiet})->until == at(900));
    CHECK(first_to_end({evacuated, evacuated})->reason == restriction::evacuated);
}

TEST_CASE("a request runs only in regions that its route and its account both allow") {
    CHECK(is_allowed_region("north", {}, {}));
    CHECK(is_allowed_region("north", {"north", "south"}, {"north"}));
    CHECK_FALSE(is_allowed_region("north", {"north"}, {"south"}));
    CHECK_FALSE(is_allowed_region("north", {"south"}, {}));
    CHECK_FALSE(is_allowed_region("", {}, {"south"}));
}
