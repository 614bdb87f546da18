#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

#include "policy/model_choice.h"
#include "policy/model_evidence.h"

using namespace figspoke::policy;
using figspoke::core::milliseconds;

namespace {

const std::vector<std::string> models = {"s", "m", "l"};
constexpr double no_exploration = 1;

model_forecast forecast_of(const model_evidence& evidence) {
    return make_forecast(evidence, {}, "service", "route", models);
}

model_situation calm_situation(const model_evidence& evidence = {}) {
    model_situation situation;
    situation.forecast = forecast_of(evidence);
    situation.terms = {{0.07, milliseconds(10)}, {0.5, milliseconds(30)}, {1, milliseconds(100)}};
    situation.latency_target = milliseconds(2000);
    situation.drops_left = 2;
    return situation;
}

std::optional<std::size_t> next_of(const model_situation& situation, std::size_t answered, int confidence) {
    const auto next = next_model(situation, answered, confidence, {}, no_exploration);
    return next ? std::make_optional(next->model) : std::nullopt;
}

std::size_t first_of(const model_situation& situation) {
    return first_model(situation, {}, no_exploration).model;
}

} // namespace

TEST_CASE("without evidence a request starts on the smallest model and goes on to the largest") {
    const auto situation = calm_situation();
    CHECK(first_of(situation) == 0);
    CHECK(next_of(situation, 0, 20) == 2);
    CHECK_FALSE(next_of(situation, 0, 95).has_value());
    CHECK_FALSE(next_of(situation, 2, 0).has_value());
    CHECK_FALSE(next_of(situation, 3, 0).has_value());
}

TEST_CASE("an answer is dropped only while the larger model is expected to answer in time") {
    // With a fixed line, every answer of low confidence would add a long prompt to queues that grow already.
    auto situation = calm_situation();
    situation.elapsed = milliseconds(100);
    situation.terms[2].expected = milliseconds(200);
    CHECK(next_of(situation, 0, 45) == 2);
    situation.terms[2].expected = milliseconds(5000);
    CHECK_FALSE(next_of(situation, 0, 45).has_value());
}

TEST_CASE("an answer is not dropped where the larger model lacks capacity, attempts or budget") {
    // When every engine of the larger model is full, its expected time is zero, so without these checks
    // answers would be dropped that nothing can replace.
    auto situation = calm_situation();
    REQUIRE(next_of(situation, 0, 20) == 2);
    situation.terms[1].has_capacity = false;
    situation.terms[2].has_capacity = false;
    CHECK_FALSE(next_of(situation, 0, 20).has_value());
    situation = calm_situation();
    situation.drops_left = 0;
    CHECK_FALSE(next_of(situation, 0, 20).has_value());
}

TEST_CASE("a busy upstream keeps answers that a calm one would drop") {
    // Each repeated prompt delays those that wait on the upstream.
    auto situation = calm_situation();
    REQUIRE(next_of(situation, 0, 60) == 2);
    situation.terms[2].delayed = 1;
    CHECK_FALSE(next_of(situation, 0, 60).has_value());
}

TEST_CASE("a request whose answers can't be dropped starts on the model that answers it best") {
    // A cascade without repeats would leave half of the requests with a poor answer.
    auto situation = calm_situation();
    situation.drops_left = 0;
    CHECK(first_of(situation) == 2);
    situation.terms[2].delayed = 2;
    CHECK(first_of(situation) != 2);
}

TEST_CASE("a route whose requests are too hard for the smaller models starts on the largest") {
    model_evidence evidence;
    for (int i = 0; i < 100; ++i) {
        record_first_answer(evidence, {}, "route", "s", 5);
        record_repeated_answer(evidence, {}, "service", "s", 5, "m", 8);
        record_repeated_answer(evidence, {}, "service", "s", 5, "l", 95);
    }
    CHECK(first_of(calm_situation(evidence)) == 2);
}

TEST_CASE("a middle model is used where it does as well as the largest") {
    model_evidence evidence;
    for (int i = 0; i < 100; ++i) {
        record_repeated_answer(evidence, {}, "service", "s", 20, "m", 95);
        record_repeated_answer(evidence, {}, "service", "s", 20, "l", 95);
    }
    CHECK(next_of(calm_situation(evidence), 0, 20) == 1);
}

TEST_CASE("a larger model that does no better is not used, and found out once it does") {
    // The rating of a model version changes with a roll-out.
    model_evidence evidence;
    for (int i = 0; i < 200; ++i) {
        record_repeated_answer(evidence, {}, "service", "s", 20, "l", 20);
    }
    CHECK_FALSE(next_of(calm_situation(evidence), 0, 20).has_value());
    for (int i = 0; i < 400; ++i) {
        record_repeated_answer(evidence, {}, "service", "s", 20, "l", 95);
    }
    CHECK(next_of(calm_situation(evidence), 0, 20) == 2);
}

TEST_CASE("a bounded share of choices compares other models") {
    const auto situation = calm_situation();
    const model_choice_settings settings;
    int explored = 0;
    for (int i = 0; i < 1000; ++i) {
        explored += first_model(situation, settings, i / 1000.0).explored ? 1 : 0;
    }
    CHECK(explored > 0);
    CHECK(explored <= int(1000 * settings.explored_share));
}

TEST_CASE("the line below which answers are dropped never rises with time, load or fewer drops") {
    CHECK(rc::check([] {
        model_evidence evidence;
        const auto answers = *rc::gen::inRange(0, 50);
        for (int i = 0; i < answers; ++i) {
            record_repeated_answer(evidence, {}, "service", "s", *rc::gen::inRange(0, 101), "l",
                                   *rc::gen::inRange(0, 101));
        }
        auto worse = calm_situation(evidence);
        worse.terms[1].has_capacity = false;
        auto better = worse;
        worse.elapsed = milliseconds(*rc::gen::inRange(0, 500));
        better.elapsed = worse.elapsed;
        better.terms[2].expected = milliseconds(*rc::gen::inRange(0, 5000));
        worse.terms[2].expected = better.terms[2].expected + milliseconds(*rc::gen::inRange(0, 5000));
        better.terms[2].delayed = 0.1 * *rc::gen::inRange(0, 50);
        worse.terms[2].delayed = better.terms[2].delayed + 0.1 * *rc::gen::inRange(0, 50);
        better.drops_left = *rc::gen::inRange(0, 3);
        worse.drops_left = *rc::gen::inRange(0, better.drops_left + 1);
        const int confidence = *rc::gen::inRange(0, 101);
        RC_ASSERT(!next_of(worse, 0, confidence) || next_of(better, 0, confidence));
    }));
}

TEST_CASE("expectations are shares, and the evidence stays bounded") {
    CHECK(rc::check([] {
        model_evidence evidence;
        model_evidence_settings settings;
        settings.max_routes = 3;
        settings.max_pairs = 3;
        const auto answers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-50, 200));
        for (const int confidence : answers) {
            const auto route = std::to_string(*rc::gen::inRange(0, 9));
            record_first_answer(evidence, settings, route, "s", confidence);
            record_repeated_answer(evidence, settings, route, "s", confidence, "l", 100 - confidence);
        }
        RC_ASSERT(evidence.first.size() <= 3U);
        RC_ASSERT(evidence.repeated.size() <= 3U);
        const auto forecast = make_forecast(evidence, settings, "0", "0", models);
        for (const auto& shares : forecast.first) {
            const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
            RC_ASSERT(sum > 0.999);
            RC_ASSERT(sum < 1.001);
        }
    }));
}

TEST_CASE("costs that aren't configured follow the order of the models") {
    CHECK(relative_costs(models, {{"s", 1}, {"m", 5}, {"l", 10}}) == std::vector<double>{0.1, 0.5, 1});
    const auto unknown = relative_costs(models, {});
    CHECK(unknown.front() < unknown.back());
    CHECK(unknown.back() == 1);
}
