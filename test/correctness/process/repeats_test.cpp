#include <future>

#include <doctest/doctest.h>

#include "support/process/journal.h"
#include "support/process/requests.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec repeat_fleet() {
    fleet_spec spec;
    const std::vector<std::string> flags = {"--token_ms=20", "--answer_tokens_min=40",
                                            "--answer_tokens_max=40"};
    spec.upstreams = {{"engine-1", {"small@1"}, {}, flags}};
    return spec;
}

const adapters::http_headers keyed = {{"idempotency-key", "draft-1"}};

std::size_t charge_count(const fleet& nodes) {
    REQUIRE(wait_until([&] { return is_settled(nodes, {0, 1, 2}); }));
    return charges_by_request(nodes).size();
}

} // namespace

TEST_CASE("a repeat of a keyed chat request gets the first answer at any node, run and charged once") {
    // Guards against work that is done and billed again for a caller that lost its answer.
    fleet nodes(repeat_fleet());
    REQUIRE(wait_for_members(nodes));
    const json body = chat_body("draft", true, 64);
    const auto first = nodes.chat(0, body, keyed);
    REQUIRE_MESSAGE(first.status == 200, first.body);
    for (int i = 0; i < nodes.node_count(); ++i) {
        const auto again = nodes.chat(i, body, keyed);
        CHECK(again.status == 200);
        CHECK(again.body == first.body);
    }
    const auto other = nodes.chat(1, chat_body("another draft", true, 64), keyed);
    CHECK(other.status == 422);
    CHECK(kind_of(other) == "key_reused");
    CHECK(nodes.executions().size() == 1);
    CHECK(charge_count(nodes) == 1);
}

TEST_CASE("a caller that breaks off a keyed stream finds the whole answer at another node") {
    // Guards against an answer that ends with its caller's connection, and against two runs at once.
    fleet nodes(repeat_fleet());
    REQUIRE(wait_for_members(nodes));
    const json body = chat_body("long draft", true, 64);
    {
        const raw_connection caller(nodes.node(0));
        REQUIRE(caller.send(raw_post("/v1/chat/completions", body.dump(), "Idempotency-Key: draft-1\r\n")));
        REQUIRE_FALSE(caller.read_some().empty());
    }
    auto second = std::async(std::launch::async, [&] { return nodes.chat(1, body, keyed); });
    const auto third = nodes.chat(2, body, keyed);
    CHECK(third.status == 200);
    CHECK(second.get().body == third.body);
    CHECK(split_events(third.body).back() == "[DONE]");
    CHECK(nodes.executions().size() == 1);
    CHECK(nodes.executions().front().at("outcome") == "done");
    CHECK(charge_count(nodes) == 1);
}

TEST_CASE("a version that turns bad during its roll-out is withdrawn without an operator") {
    // Guards against a bad version that goes on serving until somebody looks.
    fleet_spec spec;
    spec.upstreams = {{"engine-1", {"small@1", "small@2"}, {}, {"--token_ms=0", "--first_token_ms=1"}}};
    spec.edit_table = [](core::table& table) {
        table.rows.at({"version", "small@1"}).columns["rollout_percent"] = "90";
        table.rows.at({"version", "small@2"}).columns["rollout_percent"] = "10";
    };
    fleet nodes(spec);
    REQUIRE(wait_for_members(nodes));
    set_control(nodes.upstream("engine-1"), {{"bad_version", "small@2"}});
    json body = chat_body("hello", false, 8);
    body["model"] = "small";
    int sent = 0;
    const bool withdrawn = wait_until([&] {
        nodes.chat(sent % nodes.node_count(), body);
        const auto row = ++sent % 10 == 0 ? nodes.read_table().rows.at({"version", "small@2"}) : core::row{};
        return row.columns.count("state") > 0 && row.columns.at("state") == "withdrawn";
    });
    REQUIRE(withdrawn);
    int exposed = 0;
    for (const auto& execution : nodes.executions()) {
        exposed += execution.at("version") == "small@2" ? 1 : 0;
    }
    CHECK(exposed <= 40);
}
