#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>

#include "policy/model_choice.h"
#include "policy/prefill.h"
#include "policy/relay_choice.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;
using test::at;

namespace {

relay_candidate engine(int index) {
    relay_candidate candidate;
    candidate.id = "e" + std::to_string(index);
    candidate.slots = 64;
    candidate.own_prefill_ms = 800;
    candidate.cached_prefill_ms = 150;
    return candidate;
}

std::vector<relay_candidate> engines(int count) {
    std::vector<relay_candidate> list;
    list.reserve(std::size_t(count));
    for (int i = 0; i < count; ++i) {
        list.push_back(engine(i));
    }
    return list;
}

// Simulates engines that prefill one prompt at a time, for prompts with a few prefixes, one of them frequent.
// Without `by_expected_time` each request goes to the less loaded of two random engines. Returns the mean
// time to the first byte.
double mean_first_byte_ms(bool by_expected_time) {
    constexpr int engine_count = 12;
    std::mt19937 random(7);
    std::vector<double> free_at(engine_count, 0);
    std::map<std::pair<int, std::uint64_t>, bool> cached;
    double total = 0;
    constexpr int requests = 1500;
    for (int i = 0; i < requests; ++i) {
        const double now = i * 20.0;
        const std::uint64_t prefix = random() % 4 == 0 ? 1 : 2 + random() % 60;
        auto list = engines(engine_count);
        for (int e = 0; e < engine_count; ++e) {
            list[std::size_t(e)].pending_ms = std::max(free_at[std::size_t(e)] - now, 0.0);
            list[std::size_t(e)].own_prefill_ms = cached[{e, prefix}] ? 150 : 800;
        }
        placement_request placement;
        placement.prefix = by_expected_time ? prefix : 0;
        placement.first = double(random() % 1000) / 1000;
        placement.second = double(random() % 1000) / 1000;
        const auto choice = choose_relay_upstream(list, {}, placement);
        const int chosen = std::stoi(choice.id.substr(1));
        const double prefill = cached[{chosen, prefix}] ? 150 : 800;
        cached[{chosen, prefix}] = true;
        auto& free = free_at[std::size_t(chosen)];
        free = std::max(free, now) + prefill;
        total += free - now;
    }
    return total / requests;
}

} // namespace

TEST_CASE("requests for one prefix go to its first owner while that one is not busy") {
    const auto list = engines(12);
    placement_request placement;
    placement.prefix = 99;
    const auto first = choose_relay_upstream(list, {}, placement);
    CHECK(first.reason == relay_reason::prefix_owner);
    for (int i = 0; i < 20; ++i) {
        placement.first = i / 20.0;
        CHECK(choose_relay_upstream(list, {}, placement).id == first.id);
    }
}

TEST_CASE("a request leaves a busy owner once the prefill elsewhere is faster") {
    auto list = engines(12);
    placement_request placement;
    placement.prefix = 99;
    const auto owner = choose_relay_upstream(list, {}, placement).id;
    for (auto& candidate : list) {
        candidate.pending_ms = candidate.id == owner ? 400 : 0;
    }
    CHECK(choose_relay_upstream(list, {}, placement).id == owner);
    for (auto& candidate : list) {
        candidate.pending_ms = candidate.id == owner ? 1500 : 0;
    }
    const auto other = choose_relay_upstream(list, {}, placement);
    CHECK(other.id != owner);
    CHECK(other.reason == relay_reason::prefix_overflow);
}

TEST_CASE("with a frequent prefix, first bytes are earlier than with two random choices") {
    // 50 prompts per second with 61 prefixes, a quarter of them with the same one. Two random choices prefill
    // every prefix on every engine.
    CHECK(mean_first_byte_ms(true) < 0.7 * mean_first_byte_ms(false));
}

TEST_CASE("a suspect upstream is used only where no other has capacity, and a full one never") {
    auto list = engines(3);
    list[0].suspect = true;
    list[1].at_capacity = true;
    list[2].load = 64;
    placement_request placement;
    const auto choice = choose_relay_upstream(list, {}, placement);
    CHECK(choice.id == "e0");
    CHECK(choice.reason == relay_reason::last_resort);
    placement.tried = {"e0"};
    CHECK(choose_relay_upstream(list, {}, placement).reason == relay_reason::full);
    placement.tried = {"e0", "e1", "e2"};
    CHECK(choose_relay_upstream(list, {}, placement).reason == relay_reason::none);
}

TEST_CASE("the prefill rate follows the low samples") {
    prefill_rates rates;
    for (int i = 0; i < 200; ++i) {
        // Every other sample includes time behind prompts that this node doesn't know about.
        const int took = i % 2 == 0 ? 15 + 100 : 15 + 900;
        learn_prefill(rates, "m", {2000, milliseconds(took), 0});
    }
    const double learned = prefill_ms(rates, "m", 2000);
    CHECK(learned > 90);
    CHECK(learned < 250);
    learn_prefill(rates, "busy", {2000, milliseconds(5000), 500});
    CHECK(rates.ms_per_token.count("busy") == 0);
}

TEST_CASE("only prompts of the same or a more urgent rank are ahead of a request") {
    const pending_by_rank pending = {10, 20, 30, 40};
    CHECK(pending_ms_ahead(pending, 0) == 10);
    CHECK(pending_ms_ahead(pending, 2) == 60);
    CHECK(pending_ms_ahead(pending, 9) == 100);
    CHECK(pending_ms_ahead(pending, -1) == 10);
}

TEST_CASE("cached tokens count up to the first segment that is not cached") {
    prefix_cache_index memory;
    record_prefixes(memory, "e", {{1, 100}, {2, 200}}, at(0));
    CHECK(cached_tokens(memory, "e", {{1, 100}, {2, 200}, {3, 50}}, at(10)) == 300);
    CHECK(cached_tokens(memory, "e", {{9, 100}, {2, 200}}, at(10)) == 0);
    CHECK(cached_tokens(memory, "other", {{1, 100}}, at(10)) == 0);
    CHECK(cached_tokens(memory, "e", {{1, 100}}, at(60000)) == 0);
}

TEST_CASE("an answer is escalated only while the larger model is expected to answer in time") {
    // With a fixed threshold, every answer of low confidence would add a long prompt to queues that grow
    // already.
    const model_choice_settings settings;
    escalation_input input{20, milliseconds(100), milliseconds(200), milliseconds(2000)};
    CHECK(should_escalate(input, settings));
    input.expected = milliseconds(2500);
    CHECK_FALSE(should_escalate(input, settings));
    input = {80, milliseconds(0), milliseconds(0), milliseconds(2000)};
    CHECK_FALSE(should_escalate(input, settings));
}

TEST_CASE("an answer is not dropped where the larger model lacks capacity or budget") {
    // When every engine of the larger model is full, its expected time is zero, so without these checks
    // answers would be dropped that nothing can replace.
    escalation_input input{20, milliseconds(0), milliseconds(0), milliseconds(2000)};
    REQUIRE(should_escalate(input, {}));
    input.has_capacity = false;
    CHECK_FALSE(should_escalate(input, {}));
    input.has_capacity = true;
    input.within_budget = false;
    CHECK_FALSE(should_escalate(input, {}));
}

TEST_CASE("the escalation threshold never rises with the expected time") {
    CHECK(rc::check([] {
        escalation_input input{0, milliseconds(0), milliseconds(0), milliseconds(2000)};
        const int shorter = *rc::gen::inRange(0, 5000);
        const int longer = shorter + *rc::gen::inRange(0, 5000);
        input.expected = milliseconds(shorter);
        const double before = escalation_threshold(input, {});
        input.expected = milliseconds(longer);
        RC_ASSERT(escalation_threshold(input, {}) <= before);
    }));
}

TEST_CASE("an answer is escalated to the largest model, and that model's answers are not") {
    CHECK(escalation_model_index({"s", "m", "l"}, "s") == 2);
    CHECK_FALSE(escalation_model_index({"s", "m", "l"}, "l").has_value());
    CHECK_FALSE(escalation_model_index({"s"}, "s").has_value());
    CHECK_FALSE(escalation_model_index({"s", "l"}, "unknown").has_value());
}
