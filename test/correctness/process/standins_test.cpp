#include <csignal>
#include <future>

#include <doctest/doctest.h>

#include "support/process/http.h"
#include "support/process/process.h"
#include "support/process/standin.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

http_answer send(const std::string& address, const std::string& method, const std::string& target,
                 const std::string& body = "") {
    adapters::http_call call;
    call.address = address;
    call.method = method;
    call.target = target;
    call.body = body;
    call.timeout = std::chrono::seconds(30);
    return http_send(call);
}

std::string chat_body(const std::string& text, json fields = json::object()) {
    fields["model"] = "m@1";
    fields["messages"] = {{{"role", "user"}, {"content", text}}};
    return fields.dump();
}

http_answer chat(const std::string& address, const std::string& body) {
    return http_post(address, "/v1/chat/completions", body);
}

std::future<http_answer> chat_later(const std::string& address, const std::string& body) {
    return std::async(std::launch::async, [=] { return chat(address, body); });
}

bool has_executions(const std::string& address, std::size_t count) {
    return wait_until([&] { return get_counts(address).at("executions").size() == count; });
}

} // namespace

// Guards against lost updates: a write with an old version must not take effect.
TEST_CASE("a key-value write with an old version is refused with the current one") {
    running_standin kv("kv");
    CHECK(json_of(send(kv.address, "PUT", "/kv/a/b?expect=0", "one")).at("version") == 1);
    const auto conflict = send(kv.address, "PUT", "/kv/a/b?expect=0", "two");
    CHECK(conflict.status == 409);
    CHECK(json_of(conflict).at("version") == 1);
    CHECK(send(kv.address, "DELETE", "/kv/a/b?expect=1").status == 200);
    CHECK(json_of(send(kv.address, "PUT", "/kv/a/b?expect=1", "two")).at("version") == 0);
    CHECK(json_of(send(kv.address, "PUT", "/kv/a/b?expect=0", "three")).at("version") == 2);
    CHECK(json_of(http_get(kv.address, "/list/a/")).at("keys").size() == 1);
    CHECK(send(kv.address, "PUT", "/kv/big?expect=0", std::string(1048577, 'x')).status == 413);
}

// Guards against a stand-in whose dropped replies also drop the write, which hides double writes.
TEST_CASE("a key-value write whose reply is dropped has taken effect") {
    running_standin kv("kv");
    set_control(kv.address, {{"drop_replies", 1}});
    CHECK(send(kv.address, "PUT", "/kv/k?expect=0", "v").status == 0);
    const auto read = http_get(kv.address, "/kv/k");
    CHECK(read.body == "v");
    CHECK(read.headers.at("x-version") == "1");
}

// Guards against a stand-in that loses nothing when it returns, which hides trust in versions alone.
TEST_CASE("a key-value service that returns from a copy gives versions and leases out again") {
    running_standin kv("kv");
    const auto grant = [&] {
        return json_of(send(kv.address, "POST", "/lease?ttl_ms=60000")).at("lease").get<std::string>();
    };
    CHECK(send(kv.address, "PUT", "/kv/k?expect=0", "one").status == 200);
    set_control(kv.address, {{"keep_copy", true}});
    const auto lost = grant();
    CHECK(send(kv.address, "PUT", "/kv/k?expect=1", "two").status == 200);
    CHECK(send(kv.address, "PUT", "/kv/new?expect=0&lease=" + lost, "me").status == 200);
    set_control(kv.address, {{"return_to_copy", true}});
    CHECK(http_get(kv.address, "/kv/k").body == "one");
    CHECK(http_get(kv.address, "/kv/new").status == 404);
    CHECK(send(kv.address, "POST", "/lease/" + lost + "/renew").status == 404);
    CHECK(grant() == lost);
    CHECK(json_of(send(kv.address, "PUT", "/kv/k?expect=1", "other")).at("version") == 2);
    CHECK(json_of(http_get(kv.address, "/control")).at("return_to_copy") == false);
}

// Guards against keys that outlive their lease, and against leases that end while they are paused.
TEST_CASE("the end of a lease removes its keys") {
    running_standin kv("kv");
    set_control(kv.address, {{"lease_pause", true}});
    const auto lease = json_of(send(kv.address, "POST", "/lease?ttl_ms=1")).at("lease").get<std::string>();
    CHECK(send(kv.address, "PUT", "/kv/owner?expect=0&lease=" + lease, "me").status == 200);
    CHECK(http_get(kv.address, "/kv/owner").status == 200);
    set_control(kv.address, {{"lease_pause", false}});
    CHECK(wait_until([&] { return http_get(kv.address, "/kv/owner").status == 404; }));
    CHECK(send(kv.address, "POST", "/lease/" + lease + "/renew").status == 404);
    CHECK(send(kv.address, "PUT", "/kv/owner?expect=0&lease=" + lease, "me").status == 404);
}

// Guards against watches that miss a write or never time out.
TEST_CASE("a watch ends at the next write or at its timeout") {
    running_standin kv("kv");
    CHECK(http_get(kv.address, "/watch/k?after=0&timeout_ms=1").status == 204);
    auto watch = std::async(std::launch::async,
                            [&] { return http_get(kv.address, "/watch/k?after=1&timeout_ms=30000"); });
    CHECK(wait_until([&] { return get_counts(kv.address).at("watches") == 2; }));
    CHECK(send(kv.address, "PUT", "/kv/k?expect=0", "one").status == 200);
    CHECK(send(kv.address, "PUT", "/kv/k?expect=1", "two").status == 200);
    const auto seen = watch.get();
    CHECK(seen.status == 200);
    CHECK(seen.body == "two");
}

// Guards against resumed streams that repeat, skip or change text on another engine.
TEST_CASE("a cut stream resumed on another engine gives the whole text") {
    running_standin first("upstream", {"--versions=m@1", "--token_ms=1"});
    running_standin second("upstream", {"--versions=m@1", "--token_ms=1"});
    const auto whole = answer_text(chat(second.address, chat_body("hello")));
    set_control(first.address, {{"cut_after_tokens", 5}});
    const auto cut = chat(first.address, chat_body("hello", {{"stream", true}}));
    CHECK_FALSE(cut.complete);
    CHECK(split_events(cut.body).size() == 5);
    const auto rest = chat(second.address, chat_body("hello", {{"stream", true}, {"resume_from", 5}}));
    CHECK(rest.complete);
    CHECK(streamed_text(cut.body) + streamed_text(rest.body) == whole);
}

// Guards against an engine that ignores priorities or refuses work that it then runs.
TEST_CASE("an engine serves its queue by priority and refuses beyond the limit") {
    running_standin engine("upstream", {"--versions=m@1", "--slots=1", "--queue_limit=2", "--load_lag_ms=0"});
    set_control(engine.address, {{"first_token_ms", 60000}});
    const auto running = chat_later(engine.address, chat_body("first"));
    CHECK(has_executions(engine.address, 1));
    const auto waiting = [&](int count) {
        return wait_until([&] { return json_of(http_get(engine.address, "/load")).at("waiting") == count; });
    };
    const auto batch = chat_later(engine.address, chat_body("batch work", {{"priority", 2}}));
    CHECK(waiting(1));
    const auto urgent = chat_later(engine.address, chat_body("urgent", {{"priority", 0}}));
    CHECK(waiting(2));
    const auto refused = chat(engine.address, chat_body("refused"));
    CHECK(refused.status == 429);
    CHECK(refused.headers.at("x-not-run") == "true");
    set_control(engine.address, {{"slots", 2}, {"first_token_ms", 1}});
    CHECK(has_executions(engine.address, 3));
    const auto executions = get_counts(engine.address).at("executions");
    CHECK(executions.at(1).at("prompt_tokens").get<int>() < executions.at(2).at("prompt_tokens").get<int>());
    engine.process.send_signal(SIGKILL);
}

// Guards against tests of placement that can't tell the two kinds of engine apart.
TEST_CASE("an old fencing number is refused or ignored as the engine is set") {
    running_standin engine("upstream", {"--versions=m@1"});
    const auto place = [&](int fencing, const std::string& version) {
        const json command = {{"fencing", fencing}, {"versions", {version}}, {"role", "mixed"}};
        return send(engine.address, "PUT", "/placement", command.dump()).status;
    };
    CHECK(place(5, "m@2") == 200);
    CHECK(place(4, "m@1") == 412);
    CHECK(chat(engine.address, chat_body("x")).status == 404);
    set_control(engine.address, {{"check_fencing", false}});
    CHECK(place(4, "m@1") == 200);
    CHECK(chat(engine.address, chat_body("x")).status == 200);
}

// Guards against a crash that answers its victims, and against work that is lost from the counts.
TEST_CASE("a crash ends the process or loses the work in it") {
    running_standin engine("upstream", {"--versions=m@1"});
    set_control(engine.address,
                {{"crash_reset", "poison"}, {"crash_on", "deadly"}, {"first_token_ms", 60000}});
    auto victim = chat_later(engine.address, chat_body("victim"));
    CHECK(has_executions(engine.address, 1));
    set_control(engine.address, {{"first_token_ms", 1}});
    CHECK(chat(engine.address, chat_body("poison")).status == 0);
    CHECK(victim.get().status == 0);
    CHECK(has_executions(engine.address, 2));
    CHECK(chat(engine.address, chat_body("fine")).status == 200);
    CHECK(chat(engine.address, chat_body("deadly")).status == 0);
    CHECK(engine.process.wait_for_exit() == 42);
}

// Guards against faults that are answered as if nothing had happened, and against counts that miss them.
TEST_CASE("faults of a plain service leave the work in its counts") {
    running_standin engine("upstream", {"--first_token_ms=1"});
    const auto order = [&] { return http_post(engine.address, "/services/order", "{}"); };
    set_control(engine.address, {{"fail_first", 1}});
    CHECK(order().status == 500);
    set_control(engine.address, {{"garbage", 1}});
    CHECK(order().status == 0);
    set_control(engine.address, {{"drop_replies", 1}});
    CHECK(order().status == 0);
    CHECK(order().status == 200);
    CHECK(get_counts(engine.address).at("executions").size() == 4);
    engine.process.send_signal(SIGTERM);
    CHECK(engine.process.wait_for_exit() == 0);
}

// Guards against ratings that miss wrong answers and a weight store that never refuses.
TEST_CASE("the platform rates answers, limits loads and lists VMs") {
    running_standin platform("platform", {"--loads_per_minute=1"});
    CHECK(send(platform.address, "POST", "/weights/m@1/load?upstream=e1").status == 200);
    const auto refused = send(platform.address, "POST", "/weights/m@1/load?upstream=e1");
    CHECK(refused.status == 429);
    CHECK(std::stoi(refused.headers.at("retry-after-ms")) > 0);
    const auto rate = [&](const std::string& id, const std::string& answer) {
        const json body = {{"request_id", id}, {"version", "m@1"}, {"task", "t"}, {"answer", answer}};
        return http_post(platform.address, "/ratings", body.dump()).status;
    };
    CHECK(rate("a", "w0") == 202);
    CHECK(rate("b", "wrong0") == 202);
    const auto ratings = json_of(http_get(platform.address, "/ratings?after=0"));
    CHECK(ratings.at("next") == 2);
    CHECK(ratings.at("ratings").at(0).at("passed") == true);
    CHECK(ratings.at("ratings").at(1).at("passed") == false);
    set_control(
        platform.address,
        {{"vms",
          {{{"id", "n"}, {"address", "127.0.0.1:1"}, {"failure_domain", "a"}, {"state", "leaving"}}}}});
    CHECK(json_of(http_get(platform.address, "/vms")).at("vms").at(0).at("state") == "leaving");
}
