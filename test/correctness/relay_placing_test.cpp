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
    relay_candidate made;
    made.id = "e" + std::to_string(index);
    made.slots = 64;
    made.reading_ms = 800;
    made.warm_reading_ms = 150;
    return made;
}

std::vector<relay_candidate> engines(int count) {
    std::vector<relay_candidate> list;
    list.reserve(std::size_t(count));
    for (int i = 0; i < count; ++i) {
        list.push_back(engine(i));
    }
    return list;
}

// Prompts per second that arrive for a few prefixes, one of them hot; engines read one prompt after another.
// Returns the mean time to the first byte over all requests.
double mean_first_byte_ms(bool by_expected_time) {
    constexpr int engine_count = 12;
    std::mt19937 random(7);
    std::vector<double> free_at(engine_count, 0);
    std::map<std::pair<int, std::uint64_t>, bool> kept;
    double total = 0;
    constexpr int requests = 1500;
    for (int i = 0; i < requests; ++i) {
        const double now = i * 20.0;
        const std::uint64_t prefix = random() % 4 == 0 ? 1 : 2 + random() % 60;
        auto list = engines(engine_count);
        for (int e = 0; e < engine_count; ++e) {
            list[std::size_t(e)].pending_ms = std::max(free_at[std::size_t(e)] - now, 0.0);
            list[std::size_t(e)].reading_ms = kept[{e, prefix}] ? 150 : 800;
        }
        relay_wish wish;
        wish.prefix = by_expected_time ? prefix : 0;
        wish.first = double(random() % 1000) / 1000;
        wish.second = double(random() % 1000) / 1000;
        const auto choice = choose_relay_upstream(list, {}, wish);
        const int chosen = std::stoi(choice.id.substr(1));
        const double reading = kept[{chosen, prefix}] ? 150 : 800;
        kept[{chosen, prefix}] = true;
        auto& free = free_at[std::size_t(chosen)];
        free = std::max(free, now) + reading;
        total += free - now;
    }
    return total / requests;
}

} // namespace

TEST_CASE("requests for one prefix go to one owner while it is not busy") {
    const auto list = engines(12);
    relay_wish wish;
    wish.prefix = 99;
    const auto first = choose_relay_upstream(list, {}, wish);
    CHECK(first.reason == relay_reason::prefix_owner);
    for (int i = 0; i < 20; ++i) {
        wish.first = i / 20.0;
        CHECK(choose_relay_upstream(list, {}, wish).id == first.id);
    }
}

TEST_CASE("a busy owner is left once reading the prompt elsewhere is faster") {
    auto list = engines(12);
    relay_wish wish;
    wish.prefix = 99;
    const auto owner = choose_relay_upstream(list, {}, wish).id;
    for (auto& one : list) {
        one.pending_ms = one.id == owner ? 400 : 0;
    }
    CHECK(choose_relay_upstream(list, {}, wish).id == owner);
    for (auto& one : list) {
        one.pending_ms = one.id == owner ? 1500 : 0;
    }
    const auto other = choose_relay_upstream(list, {}, wish);
    CHECK(other.id != owner);
    CHECK(other.reason == relay_reason::prefix_overflow);
}

TEST_CASE("with a hot prefix, first bytes come sooner than with two random choices") {
    // Load: 50 prompts a second for 61 prefixes, a quarter of them for one. Two random choices read every
    // prefix on every engine.
    CHECK(mean_first_byte_ms(true) < 0.7 * mean_first_byte_ms(false));
}

TEST_CASE("suspects and full upstreams are used last or not at all") {
    auto list = engines(3);
    list[0].suspect = true;
    list[1].backing_off = true;
    list[2].load = 64;
    relay_wish wish;
    const auto choice = choose_relay_upstream(list, {}, wish);
    CHECK(choice.id == "e0");
    CHECK(choice.reason == relay_reason::last_resort);
    wish.tried = {"e0"};
    CHECK(choose_relay_upstream(list, {}, wish).reason == relay_reason::full);
    wish.tried = {"e0", "e1", "e2"};
    CHECK(choose_relay_upstream(list, {}, wish).reason == relay_reason::none);
}

TEST_CASE("the rate of reading is learned from low samples") {
    prefill_rates rates;
    for (int i = 0; i < 200; ++i) {
        // Every other sample waited behind work that this node didn't know of.
        const int took = i % 2 == 0 ? 15 + 100 : 15 + 900;
        learn_prefill(rates, "m", {2000, milliseconds(took), 0});
    }
    const double learned = prefill_ms(rates, "m", 2000);
    CHECK(learned > 90);
    CHECK(learned < 250);
    learn_prefill(rates, "busy", {2000, milliseconds(5000), 500});
    CHECK(rates.ms_per_token.count("busy") == 0);
}

TEST_CASE("a request waits behind its own rank and more urgent ones only") {
    const pending_by_rank pending = {10, 20, 30, 40};
    CHECK(pending_before(pending, 0) == 10);
    CHECK(pending_before(pending, 2) == 60);
    CHECK(pending_before(pending, 9) == 100);
    CHECK(pending_before(pending, -1) == 10);
}

TEST_CASE("kept prefixes count up to the first part that is missing") {
    prefix_memory memory;
    note_prefixes(memory, "e", {{1, 100}, {2, 200}}, at(0));
    CHECK(cached_tokens(memory, "e", {{1, 100}, {2, 200}, {3, 50}}, at(10)) == 300);
    CHECK(cached_tokens(memory, "e", {{9, 100}, {2, 200}}, at(10)) == 0);
    CHECK(cached_tokens(memory, "other", {{1, 100}}, at(10)) == 0);
    CHECK(cached_tokens(memory, "e", {{1, 100}}, at(60000)) == 0);
}

TEST_CASE("an answer is asked again only while the larger model still answers in time") {
    // Load: engines whose queues grow. Without the falling line every low answer adds a long prompt to them.
    const model_choice_settings settings;
    escalation_question question{20, milliseconds(100), milliseconds(200), milliseconds(2000)};
    CHECK(should_escalate(question, settings));
    question.expected = milliseconds(2500);
    CHECK_FALSE(should_escalate(question, settings));
    question = {80, milliseconds(0), milliseconds(0), milliseconds(2000)};
    CHECK_FALSE(should_escalate(question, settings));
}

TEST_CASE("an answer isn't dropped where no other can take its place") {
    // With every engine of the larger model full its expected time read as zero, so that answers were dropped
    // just when nothing could replace them.
    escalation_question question{20, milliseconds(0), milliseconds(0), milliseconds(2000)};
    REQUIRE(should_escalate(question, {}));
    question.has_room = false;
    CHECK_FALSE(should_escalate(question, {}));
    question.has_room = true;
    question.within_budget = false;
    CHECK_FALSE(should_escalate(question, {}));
}

TEST_CASE("the line never rises with the expected time") {
    CHECK(rc::check([] {
        escalation_question question{0, milliseconds(0), milliseconds(0), milliseconds(2000)};
        const int sooner = *rc::gen::inRange(0, 5000);
        const int later = sooner + *rc::gen::inRange(0, 5000);
        question.expected = milliseconds(sooner);
        const double before = escalation_line(question, {});
        question.expected = milliseconds(later);
        RC_ASSERT(escalation_line(question, {}) <= before);
    }));
}

TEST_CASE("the largest model is asked, and nothing beyond it") {
    CHECK(larger_model_index({"s", "m", "l"}, "s") == 2);
    CHECK_FALSE(larger_model_index({"s", "m", "l"}, "l").has_value());
    CHECK_FALSE(larger_model_index({"s"}, "s").has_value());
    CHECK_FALSE(larger_model_index({"s", "l"}, "unknown").has_value());
}
