#include <algorithm>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/plan_choice.h"

using namespace figspoke;
using namespace figspoke::policy;
using namespace std::chrono_literals;

namespace {

core::model_version version(const std::string& model, const std::string& number, std::int64_t price,
                            double quality) {
    core::model_version value;
    value.id = model + "@" + number;
    value.model = model;
    value.price_in = price;
    value.price_out = price;
    value.quality = quality;
    return value;
}

struct plan_fixture {
    core::config_snapshot config;
    quality_evidence evidence;
    std::map<std::string, version_capacity> capacity;
    core::steady_time now{1h};

    plan_fixture() {
        core::client_account account;
        account.name = "acme";
        account.allowed = {"small", "large"};
        config.accounts["acme"] = account;
        add(version("small", "1", 1000, 0.7));
        add(version("large", "1", 15000, 0.95));
        add(version("other", "1", 100, 0.99));
    }
    void add(const core::model_version& value) {
        config.versions[value.id] = value;
        capacity[value.id].usable_upstreams = 1;
    }
    void rate(const std::string& id, int passed, int failed) {
        for (int i = 0; i < passed + failed; ++i) {
            record_rating(evidence, "self", {{"chat", id, ""}, false, i < passed}, now);
        }
    }
    core::result<plan_decision> choose(const plan_request& request, const plan_settings& settings = {},
                                       const plan_draws& draws = {}) const {
        return choose_plan({config, evidence, capacity, now}, settings, request, draws);
    }
};

plan_request request_of(double target) {
    plan_request request;
    request.account = "acme";
    request.task = "chat";
    request.rollout_key = "c1";
    request.quality_target = target;
    request.prompt_tokens = 1000;
    request.answer_tokens = 1000;
    return request;
}

rejection_reason reason_of(const plan_decision& decision, const std::string& id) {
    for (const auto& candidate : decision.candidates) {
        if (candidate.version == id && candidate.escalate_to.empty()) {
            return candidate.reason;
        }
    }
    return rejection_reason::not_in_policy;
}

} // namespace

TEST_CASE("the cheapest plan that meets the target is chosen and the others have a reason for rejection") {
    // Guards against the cost of the best version where a cheaper one meets the target.
    plan_fixture fixture;
    fixture.rate("small@1", 95, 5);
    fixture.rate("large@1", 99, 1);
    const auto decision = fixture.choose(request_of(0.85));
    REQUIRE(decision);
    CHECK(decision->version == "small@1");
    CHECK(decision->escalate_to.empty());
    CHECK(reason_of(*decision, "large@1") == rejection_reason::dearer);
    CHECK(reason_of(*decision, "other@1") == rejection_reason::not_allowed);
}

TEST_CASE("when nothing meets the target the best plan is chosen and the reason says so") {
    // Guards against an error, or a decision that doesn't report the miss, where no plan meets the target.
    plan_fixture fixture;
    fixture.rate("small@1", 10, 90);
    fixture.rate("large@1", 60, 40);
    const auto decision = fixture.choose(request_of(0.95));
    REQUIRE(decision);
    CHECK(decision->version == "large@1");
    CHECK(decision->reason == plan_reason::best_below_target);
}

TEST_CASE("both steps of a cascade count against the deadline") {
    // Guards against a cascade whose second step would end after the deadline.
    plan_fixture fixture;
    auto request = request_of(0.9);
    // Each step takes 200 ms, plus 1000 tokens at 40 tokens per second.
    request.deadline = 30s;
    const auto decision = fixture.choose(request);
    REQUIRE(decision);
    CHECK(decision->escalate_to.empty());
    const auto& plans = decision->candidates;
    CHECK(std::count_if(plans.begin(), plans.end(), [](const auto& p) {
              return !p.escalate_to.empty() && p.reason == rejection_reason::too_slow;
          }) == 1);
    request.deadline = 20s;
    CHECK(fixture.choose(request).error().kind == core::error_kind::deadline_unreachable);
}

TEST_CASE("a pinned conversation keeps its version or fails") {
    // Guards against a conversation whose version changes without the caller being told.
    plan_fixture fixture;
    auto request = request_of(0.1);
    request.pinned_version = "large@1";
    fixture.config.versions.at("large@1").state = core::version_state::retiring;
    CHECK(fixture.choose(request)->version == "large@1");
    fixture.capacity.erase("large@1");
    CHECK(fixture.choose(request).error().kind == core::error_kind::no_capacity);
    fixture.config.versions.at("large@1").state = core::version_state::withdrawn;
    CHECK(fixture.choose(request).error().kind == core::error_kind::version_withdrawn);
}

TEST_CASE("no choice ever uses a version that is not allowed, withdrawn, retiring or without upstream") {
    // Guards against a policy, an exploration or a cascade that ignores the exclusions.
    CHECK(rc::check([](std::uint32_t seed) {
        std::mt19937 random(seed);
        plan_fixture fixture;
        for (const auto* const model : {"small", "large", "other"}) {
            for (const auto* const number : {"2", "3"}) {
                auto value = version(model, number, 1 + random() % 15000, (random() % 100) / 100.0);
                value.state = static_cast<core::version_state>(random() % 3);
                value.rollout_percent = random() % 3 * 50.0;
                fixture.add(value);
                if (random() % 4 == 0) {
                    fixture.capacity.erase(value.id);
                }
            }
        }
        plan_settings settings;
        settings.policy = static_cast<plan_policy>(random() % 4);
        settings.exploration = 0.5;
        auto request = request_of((random() % 100) / 100.0);
        request.rollout_key = std::to_string(seed);
        const auto decision = fixture.choose(request, settings, {(random() % 100) / 100.0, 0.5});
        if (!decision) {
            return;
        }
        for (const auto& id : {decision->version, decision->escalate_to}) {
            if (!id.empty()) {
                const auto& used = fixture.config.versions.at(id);
                RC_ASSERT(used.state == core::version_state::active);
                RC_ASSERT(used.rollout_percent > 0);
                RC_ASSERT(core::is_allowed(fixture.config.accounts.at("acme"), used));
                RC_ASSERT(fixture.capacity.count(id) == 1U);
            }
        }
    }));
}
