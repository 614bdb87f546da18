#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/journal_simulation.h"

using namespace figspoke::test;

namespace {

using schedule = std::vector<std::uint32_t>;

rc::Gen<schedule> schedules() {
    const auto step = rc::gen::inRange<std::uint32_t>(0, 1U << 20U);
    // The size is fixed because short schedules rarely contain a takeover together with a lost reply.
    return rc::gen::resize(2500, rc::gen::container<schedule>(step));
}

// Runs a schedule, then checks the ledger, and returns the violations of one guarantee.
std::vector<std::string> violations_of(const schedule& steps, std::size_t nodes, const char* guarantee) {
    journal_simulation sim = make_journal_simulation(nodes);
    for (const std::uint32_t step : steps) {
        run_step(sim, step);
    }
    if (!steps.empty()) {
        RC_ASSERT(run_until_settled(sim));
        check_ledger(sim);
    }
    std::vector<std::string> found;
    const auto range = sim.violations.equal_range(guarantee);
    for (auto it = range.first; it != range.second; ++it) {
        found.push_back(it->second);
    }
    return found;
}

bool guarantee_holds(const char* guarantee) {
    return rc::check(guarantee, [guarantee] {
        const auto steps = *schedules();
        const auto nodes = *rc::gen::inRange<std::size_t>(2, 4);
        RC_ASSERT(violations_of(steps, nodes, guarantee) == std::vector<std::string>{});
    });
}

} // namespace

TEST_CASE("an order runs at most once under any schedule") {
    // Guards against a second dispatch after a lost reply to a claim, a takeover, a crash or a repeated
    // request.
    CHECK(guarantee_holds("order"));
}

TEST_CASE("every acknowledged charge is in the ledger exactly once under any schedule") {
    // Guards against charges that repeated appends, sealing or takeovers lose or record twice.
    CHECK(guarantee_holds("charge"));
}

TEST_CASE("the value's version fences every stale owner under any schedule") {
    // Guards against a paused owner that resumes and overwrites the value of its successor.
    CHECK(guarantee_holds("fence"));
}

TEST_CASE("the size estimate is never below the encoded size under any schedule") {
    // Guards against a value that exceeds the service's size limit while the estimate still admits entries.
    CHECK(guarantee_holds("size"));
}

TEST_CASE("an entry in the value is never reported as not written under any schedule") {
    // Guards against a node that reports an entry as not recorded after a lost reply to the write that
    // recorded it.
    CHECK(guarantee_holds("not_written"));
}

TEST_CASE("an entry missing from the value is never reported as recorded under any schedule") {
    // Guards against an acknowledgement that is given before the write is known to have taken effect.
    CHECK(guarantee_holds("written"));
}
