#include <atomic>
#include <csignal>
#include <future>

#include <doctest/doctest.h>

#include "support/process/journal.h"
#include "support/process/requests.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec engines(std::vector<std::string> flags, int nodes = 1, std::string more_settings = "") {
    fleet_spec spec;
    spec.nodes = nodes;
    spec.upstreams = {{"engine-1", {"small@1"}, {}, flags}, {"engine-2", {"small@1"}, {}, flags}};
    spec.more_settings = std::move(more_settings);
    return spec;
}

json stream_body(const std::string& text, bool stream = true) {
    return chat_body(text, stream, 2000);
}

// Retries are saved up by requests; an upstream's restart needs some.
void save_retries(fleet& nodes, int index) {
    for (int i = 0; i < 40; ++i) {
        REQUIRE(nodes.chat(index, chat_body("warm " + std::to_string(i), false, 1)).status == 200);
    }
}

// An interrupted stream ends with its error event, and what came before it is the start of the whole text.
void check_whole_or_interrupted(const http_answer& answer, const std::string& whole) {
    if (answer.status != 200) {
        CHECK(kind_of(answer) == "upstream_failed");
        return;
    }
    const auto events = split_events(answer.body);
    REQUIRE_FALSE(events.empty());
    const auto text = streamed_text(answer.body);
    if (events.back() == "[DONE]") {
        CHECK(text == whole);
        return;
    }
    CHECK(json::parse(events.back()).at("error").at("kind") == "stream_interrupted");
    CHECK(whole.compare(0, text.size(), text) == 0);
}

} // namespace

TEST_CASE("a stream whose engine ends in the middle is resumed whole or ends with an error") {
    // Guards against a splice of two answers and against an end that looks complete.
    fleet nodes(engines({"--token_ms=5", "--answer_tokens_min=100", "--answer_tokens_max=100"}));
    save_retries(nodes, 0);
    const auto whole = answer_text(nodes.chat(0, stream_body("story", false)));
    for (const int cut : {0, 1, 30, 99}) {
        set_control(nodes.upstream("engine-1"), {{"cut_after_tokens", cut}});
        set_control(nodes.upstream("engine-2"), {{"cut_after_tokens", -1}});
        for (int i = 0; i < 2; ++i) {
            check_whole_or_interrupted(nodes.chat(0, stream_body("story")), whole);
        }
    }
    set_control(nodes.upstream("engine-1"), {{"cut_after_tokens", -1}});
    std::vector<std::future<http_answer>> streams(6);
    for (auto& pending : streams) {
        pending = std::async(std::launch::async, [&] { return nodes.chat(0, stream_body("story")); });
    }
    REQUIRE(wait_until([&] { return status_of(nodes, 0).at("admission").at("running") == streams.size(); }));
    nodes.upstream_process("engine-1").send_signal(SIGKILL);
    int resumed = 0;
    for (auto& pending : streams) {
        const auto answer = pending.get();
        check_whole_or_interrupted(answer, whole);
        resumed += answer.body.find("[DONE]") != std::string::npos ? 1 : 0;
    }
    CHECK(resumed >= 1);
}

TEST_CASE("slow readers and callers that leave are cut off and disturb nobody else") {
    // Guards against a caller that holds an engine's slot for ever.
    fleet nodes(engines({"--token_ms=0", "--answer_tokens_min=60000", "--answer_tokens_max=60000"}, 1,
                        "[limits]\nwrite_timeout_ms = 700\n"));
    const auto request = raw_post("/v1/chat/completions", chat_body("endless", true, 60000).dump());
    {
        const raw_connection slow(nodes.node(0), 4096);
        slow.send(request);
        REQUIRE_FALSE(slow.read_some().empty());
        const raw_connection leaving(nodes.node(0));
        leaving.send(request);
    }
    const raw_connection stalled(nodes.node(0), 4096);
    stalled.send(request);
    REQUIRE_FALSE(stalled.read_some().empty());
    CHECK(nodes.chat(0, chat_body("other", false, 10)).status == 200);
    CHECK(wait_until([&] { return status_of(nodes, 0).at("admission").at("running") == 0; }));
    CHECK(stalled.read_to_end(std::chrono::seconds(2)).find("[DONE]") == std::string::npos);
}

TEST_CASE("many callers at once each get the text of their own request, also among failures") {
    // Guards against an answer that arrives on the wrong connection after garbage, a cut or a lost reply.
    fleet nodes(engines({"--answer_tokens_min=20", "--answer_tokens_max=40"}, 2));
    const auto text_of = [](const http_answer& answer, bool stream) {
        return stream ? streamed_text(answer.body) : answer_text(answer);
    };
    // The text of an answer depends on its request alone, so an undisturbed run gives what is expected.
    constexpr int count = 60;
    constexpr int requests = 180;
    std::vector<std::string> expected;
    expected.reserve(count);
    for (int i = 0; i < count; ++i) {
        expected.push_back(
            answer_text(nodes.chat(i % 2, stream_body("question " + std::to_string(i), false))));
    }
    std::atomic<int> next{0};
    std::atomic<int> wrong{0};
    std::atomic<int> answered{0};
    const auto ask = [&] {
        for (int i = next++; i < requests; i = next++) {
            const bool stream = i % 3 != 0;
            const auto number = static_cast<std::size_t>(i % count);
            const auto answer = nodes.chat(i % 2, stream_body("question " + std::to_string(number), stream));
            const bool whole = answer.status == 200 && answer.complete &&
                               (!stream || answer.body.find("[DONE]") != std::string::npos);
            answered += whole ? 1 : 0;
            wrong += whole && text_of(answer, stream) != expected[number] ? 1 : 0;
        }
    };
    std::vector<std::future<void>> callers(12);
    for (auto& caller : callers) {
        caller = std::async(std::launch::async, ask);
    }
    int previous = 0;
    for (int i = 0; next.load() < requests; ++i) {
        // One fault for every twelve requests leaves most of them to be answered.
        wait_until([&] { return next.load() >= std::min(requests, previous + 12); });
        previous = next.load();
        const auto fault = i % 3 == 0   ? json{{"garbage", 1}}
                           : i % 3 == 1 ? json{{"cut_after_tokens", 7}}
                                        : json{{"drop_replies", 1}};
        set_control(nodes.upstream(i % 2 == 0 ? "engine-1" : "engine-2"), fault);
    }
    for (auto& caller : callers) {
        caller.get();
    }
    CHECK(wrong.load() == 0);
    CHECK(answered.load() >= requests / 2);
}
