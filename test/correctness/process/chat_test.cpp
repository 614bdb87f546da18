#include <doctest/doctest.h>

#include "state/journal_shard.h"
#include "support/process/fleet.h"

using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec chat_fleet() {
    fleet_spec spec;
    spec.upstreams = {{"engine-1", {"small@1", "large@1"}, {}, {}}, {"engine-2", {"small@1"}, {}, {}}};
    return spec;
}

json chat_body(const std::string& text, bool stream) {
    return {{"model", "auto"},
            {"messages", json::array({{{"role", "user"}, {"content", text}}})},
            {"stream", stream},
            {"max_tokens", 24}};
}

json status_of(const fleet& nodes, int index) {
    return json_of(http_get(nodes.node(index), "/admin/status"));
}

bool is_settled(const fleet& nodes) {
    for (int i = 0; i < nodes.node_count(); ++i) {
        if (status_of(nodes, i)["charges"]["unsettled"] != 0) {
            return false;
        }
    }
    return true;
}

// Sums the charges of all client accounts over all journal shards.
figspoke::state::account_total journal_totals(const fleet& nodes) {
    figspoke::state::account_total sum;
    const json listed = json_of(http_get(nodes.kv(), "/list/figspoke/journal/"));
    for (const auto& entry : listed["keys"]) {
        const auto text = http_get(nodes.kv(), "/kv/" + entry["key"].get<std::string>()).body;
        const auto shard = figspoke::state::decode_shard(text).value();
        for (const auto& [account, total] : shard.totals) {
            sum.charges += total.charges;
            sum.micros += total.micros;
            sum.generated_tokens += total.generated_tokens;
        }
    }
    return sum;
}

} // namespace

TEST_CASE("a chat request is streamed from an allowed version and charged once") {
    // Guards against a break anywhere on the path from the caller to the journal.
    fleet nodes(chat_fleet());
    std::int64_t served_tokens = 0;
    for (int i = 0; i < nodes.node_count(); ++i) {
        const auto streamed = nodes.chat(i, chat_body("question " + std::to_string(i), true));
        REQUIRE_MESSAGE(streamed.status == 200, streamed.body);
        CHECK(streamed.complete);
        CHECK(split_events(streamed.body).back() == "[DONE]");
        CHECK_FALSE(streamed_text(streamed.body).empty());
        const auto whole = nodes.chat(i, chat_body("question " + std::to_string(i), false));
        REQUIRE_MESSAGE(whole.status == 200, whole.body);
        CHECK(answer_text(whole) == streamed_text(streamed.body));
    }
    const auto executions = nodes.executions();
    CHECK(executions.size() == 6);
    for (const auto& execution : executions) {
        served_tokens += execution["completion_tokens"].get<std::int64_t>();
    }
    REQUIRE(wait_until([&] { return is_settled(nodes); }));
    const auto totals = journal_totals(nodes);
    CHECK(totals.charges == 6);
    CHECK(totals.generated_tokens == served_tokens);
}

TEST_CASE("a withdrawn version takes no work on any node and its conversations are told so") {
    // Guards against a node that keeps an old table, and against a silent change of version.
    fleet nodes(chat_fleet());
    json body = chat_body("hello", false);
    body["model"] = "large@1";
    const auto first = nodes.chat(0, body);
    REQUIRE_MESSAGE(first.status == 200, first.body);
    const auto token = first.headers.at("x-figspoke-conversation");
    nodes.change_table([](figspoke::core::table& table) {
        table.rows.at({"version", "large@1"}).columns["state"] = "withdrawn";
    });
    const auto revision = nodes.read_table().revision;
    REQUIRE(wait_until([&] { return status_of(nodes, 0)["table_revision"] == revision; }));
    REQUIRE(wait_until([&] {
        const auto target = "/admin/edit?revision=" + std::to_string(revision) + "&age_ms=0";
        return json_of(http_get(nodes.node(1), target))["accepted"].get<bool>();
    }));
    for (int i = 0; i < nodes.node_count(); ++i) {
        const auto pinned = nodes.chat(i, chat_body("again", false), {{"x-figspoke-conversation", token}});
        CHECK(pinned.status == 410);
        CHECK(json_of(pinned)["error"]["kind"] == "version_withdrawn");
        CHECK(json_of(pinned)["error"]["execution"] == "not_run");
        const auto fresh = nodes.chat(i, chat_body("again", false));
        CHECK(fresh.headers.at("x-figspoke-version") == "small@1");
    }
}

TEST_CASE("an order with one key runs once on whichever nodes it is sent to") {
    // Guards against a duplicate order after a repeat, and against a key used for another body.
    fleet_spec spec = chat_fleet();
    spec.upstreams.push_back({"shop", {}, {"parts_order"}, {}});
    fleet nodes(spec);
    const figspoke::adapters::http_headers headers = {
        {"authorization", std::string("Bearer ") + test_api_key}, {"idempotency-key", "order-1"}};
    const auto first = http_post(nodes.node(0), "/v1/orders/parts_order", R"({"units":3})", headers);
    REQUIRE_MESSAGE(first.status == 200, first.body);
    const auto again = http_post(nodes.node(2), "/v1/orders/parts_order", R"({"units":3})", headers);
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    const auto other = http_post(nodes.node(1), "/v1/orders/parts_order", R"({"units":4})", headers);
    CHECK(other.status == 422);
    CHECK(json_of(other)["error"]["kind"] == "key_reused");
    CHECK(nodes.executions().size() == 1);
    REQUIRE(wait_until([&] { return is_settled(nodes); }));
    CHECK(journal_totals(nodes).micros == 1000);
}
