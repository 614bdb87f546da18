#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/journal_world.h"

using namespace figspoke::test;

namespace {

using schedule = std::vector<std::uint32_t>;

rc::Gen<schedule> schedules() {
    const auto step = rc::gen::inRange<std::uint32_t>(0, 1U << 20U);
    // A fixed size: short schedules rarely reach a takeover with a lost reply.
    return rc::gen::resize(2500, rc::gen::container<schedule>(step));
}

// Runs a schedule and returns the violations of one guarantee.
std::vector<std::string> violations_of(const schedule& steps, std::size_t nodes, const char* guarantee) {
    world simulated = make_world(nodes);
    for (const std::uint32_t step : steps) {
        run_step(simulated, step);
    }
    if (!steps.empty()) {
        RC_ASSERT(settle_world(simulated));
        check_ledger(simulated);
    }
    std::vector<std::string> found;
    const auto range = simulated.violations.equal_range(guarantee);
    for (auto it = range.first; it != range.second; ++it) {
        found.push_back(it->second);
    }
    return found;
}

bool holds(const char* guarantee) {
    return rc::check(guarantee, [guarantee] {
        const auto steps = *schedules();
        const auto nodes = *rc::gen::inRange<std::size_t>(2, 4);
        RC_ASSERT(violations_of(steps, nodes, guarantee) == std::vector<std::string>{});
    });
}

} // namespace

TEST_CASE("an order runs at most once under any schedule") {
    // Guards against a second dispatch after a lost claim reply, a takeover, a crash or a repeated request.
    CHECK(holds("order"));
}

TEST_CASE("every acknowledged charge is in the ledger exactly once under any schedule") {
    // Guards against charges that are lost or doubled by repeated appends, sealing and takeovers.
    CHECK(holds("charge"));
}

TEST_CASE("the value's version fences every stale owner under any schedule") {
    // Guards against a paused owner that overwrites its successor.
    CHECK(holds("fence"));
}

TEST_CASE("the size estimate is never below the encoded size under any schedule") {
    // Guards against a value that grows past the service's limit while the estimate still allows entries.
    CHECK(holds("size"));
}

TEST_CASE("nothing is reported not written that is in the value under any schedule") {
    // Guards against a node that reports work as not recorded after a lost reply.
    CHECK(holds("not_written"));
}

TEST_CASE("nothing is reported recorded that is not in the value under any schedule") {
    // Guards against an acknowledgement that is given before the write is known.
    CHECK(holds("written"));
}
