#include <csignal>
#include <future>

#include <doctest/doctest.h>

#include "support/process/journal.h"
#include "support/process/requests.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec mixed_fleet(std::string more_settings = "", int nodes = 3) {
    fleet_spec spec;
    spec.nodes = nodes;
    spec.upstreams = {{"engine-1", {"small@1"}, {}, {}},
                      {"engine-2", {"small@1"}, {}, {}},
                      {"shop", {}, {"parts_order"}, {}}};
    spec.more_settings = std::move(more_settings);
    return spec;
}

std::string request_id_of(const http_answer& answer) {
    const auto found = answer.headers.find("x-figspoke-request-id");
    return found == answer.headers.end() ? "" : found->second;
}

// Answered requests by id, with the tokens that the caller got; 0 for an order.
using answered = std::map<std::string, std::int64_t>;

void note_answer(answered& sent, const http_answer& answer) {
    REQUIRE_MESSAGE(answer.status == 200, answer.body);
    const json body = json_of(answer);
    sent[request_id_of(answer)] = body.contains("usage") ? body["usage"]["completion_tokens"].get<int>() : 0;
}

void send_some(fleet& nodes, int index, const std::string& tag, int count, answered& sent) {
    for (int i = 0; i < count; ++i) {
        const auto name = tag + "-" + std::to_string(i);
        note_answer(sent, nodes.chat(index, chat_body(name, false)));
        note_answer(sent, place_order(nodes, index, name));
    }
}

// Compares the ledger with the upstreams' counts and the callers' answers, request by request.
void check_ledger(fleet& nodes, const answered& sent, const std::vector<int>& alive) {
    const bool settled =
        wait_until([&] { return is_settled(nodes, alive) && read_charges(nodes).size() >= sent.size(); });
    std::string held = std::to_string(read_charges(nodes).size()) + " charges recorded, held:";
    for (const int index : alive) {
        held += " " + status_of(nodes, index).at("charges").dump();
    }
    REQUIRE_MESSAGE(settled, held);
    const auto charges = charges_by_request(nodes);
    CHECK(charges.size() == sent.size());
    std::map<std::string, std::int64_t> served;
    const auto executions = nodes.executions();
    for (const auto& execution : executions) {
        served[execution.at("request_id")] = execution.at("completion_tokens");
    }
    for (const auto& answer : sent) {
        const auto& id = answer.first;
        const auto tokens = answer.second;
        REQUIRE_MESSAGE(charges.count(id) == 1, id);
        CHECK(charges.at(id).generated_tokens == tokens);
        CHECK(served.at(id) == tokens);
        CHECK(charges.at(id).micros > 0);
    }
}

} // namespace

TEST_CASE("charges of a node that is killed right after its answers are recorded by its peers") {
    // Guards against charges that only the serving node knows, and against charges recorded by both.
    fleet nodes(mixed_fleet("[journal]\ncharge_flush_ms = 2000\n"));
    REQUIRE(wait_for_members(nodes));
    answered sent;
    send_some(nodes, 1, "before", 3, sent);
    send_some(nodes, 0, "last", 6, sent);
    nodes.node_process(0).send_signal(SIGKILL);
    check_ledger(nodes, sent, {1, 2});
}

TEST_CASE("a node that is stopped first records the copies it keeps for a killed node") {
    // Guards against the last copy of a charge that ends with a planned stop.
    fleet nodes(mixed_fleet("[journal]\ncharge_flush_ms = 5000\n", 2));
    REQUIRE(wait_for_members(nodes));
    answered sent;
    send_some(nodes, 0, "last", 4, sent);
    nodes.node_process(0).send_signal(SIGKILL);
    nodes.node_process(1).send_signal(SIGTERM);
    CHECK(nodes.node_process(1).wait_for_exit() == 0);
    check_ledger(nodes, sent, {});
}

TEST_CASE("lost replies of the key-value service and of upstreams leave one charge a request") {
    // Guards against a batch of charges that is repeated after its reply was lost.
    fleet nodes(mixed_fleet());
    answered sent;
    send_some(nodes, 0, "saving", 8, sent);
    for (int round = 0; round < 6; ++round) {
        set_control(nodes.kv(), {{"drop_replies", 2}});
        send_some(nodes, round % 3, "round-" + std::to_string(round), 2, sent);
    }
    // A chat answer that is lost is generated again by the other engine; the caller pays for the one it got.
    set_control(nodes.upstream("engine-1"), {{"drop_replies", 1}});
    set_control(nodes.upstream("engine-2"), {{"drop_replies", 1}});
    const auto repeated = nodes.chat(0, chat_body("lost", false));
    set_control(nodes.upstream("engine-1"), {{"drop_replies", 0}});
    set_control(nodes.upstream("engine-2"), {{"drop_replies", 0}});
    if (repeated.status == 200) {
        note_answer(sent, repeated);
    }
    check_ledger(nodes, sent, {0, 1, 2});
}

TEST_CASE("a keyed chat request is charged once however often it is sent, and other requests by their own") {
    // Guards against double billing of a repeat, and against a key that hides the charge of another request.
    fleet nodes(mixed_fleet());
    const adapters::http_headers keyed = {{"idempotency-key", "same"}};
    const auto first = nodes.chat(0, chat_body("question", false), keyed);
    REQUIRE(nodes.chat(1, chat_body("question", false), keyed).status == 200);
    const auto other = nodes.chat(2, chat_body("another question", false), keyed);
    const auto order = place_order(nodes, 0, "same");
    REQUIRE(order.status == 200);
    CHECK(place_order(nodes, 1, "same").body == order.body);
    answered sent;
    note_answer(sent, first);
    note_answer(sent, order);
    if (other.status == 200) {
        note_answer(sent, other);
    } else {
        CHECK(kind_of(other) == "key_reused");
    }
    check_ledger(nodes, sent, {0, 1, 2});
}

TEST_CASE("a cancelled stream is charged for what was generated") {
    // Guards against free answers for callers that leave before the end.
    fleet nodes(mixed_fleet());
    set_control(nodes.upstream("engine-1"), {{"token_ms", 30}});
    set_control(nodes.upstream("engine-2"), {{"token_ms", 30}});
    {
        const raw_connection link(nodes.node(0));
        link.send(raw_post("/v1/chat/completions", chat_body("leave", true, 2000).dump()));
        REQUIRE(wait_until([&] { return link.read_some().find("content") != std::string::npos; }));
    }
    REQUIRE(wait_until([&] { return read_charges(nodes).size() == 1 && nodes.executions().size() == 1; }));
    const auto charge = read_charges(nodes).front();
    CHECK(wait_until([&] { return nodes.executions().front().at("outcome") != "running"; }));
    const auto served = nodes.executions().front();
    CHECK(charge.cancelled);
    CHECK(charge.id == served.at("request_id"));
    CHECK(charge.prompt_tokens == served.at("prompt_tokens"));
    CHECK(charge.generated_tokens > 0);
    // The engine may have generated a token or two more that the node has not read.
    CHECK(charge.generated_tokens <= served.at("completion_tokens"));
    CHECK(charge.generated_tokens + 3 >= served.at("completion_tokens"));
}

TEST_CASE("beyond the limit of unsettled charges new work is refused as not run until the outage ends") {
    // Guards against charges without bound in memory during an outage, and against their loss after it.
    fleet nodes(mixed_fleet("[journal]\nunsettled_limit = 5\n"));
    set_control(nodes.kv(), {{"down", true}});
    answered sent;
    int refused = 0;
    for (int i = 0; i < 30; ++i) {
        const auto answer = nodes.chat(i % 3, chat_body("outage " + std::to_string(i), false));
        if (answer.status == 200) {
            note_answer(sent, answer);
            continue;
        }
        CHECK_MESSAGE(kind_of(answer) == "unsettled_limit", answer.body);
        CHECK(execution_of(answer) == "not_run");
        ++refused;
    }
    CHECK(sent.size() == 15);
    CHECK(refused == 15);
    CHECK(nodes.executions().size() == sent.size());
    set_control(nodes.kv(), {{"down", false}});
    check_ledger(nodes, sent, {0, 1, 2});
    CHECK(nodes.chat(0, chat_body("after", false)).status == 200);
}

TEST_CASE("the epoch of an account's limit never falls below one that nodes hold grants of") {
    // Guards against grants that all nodes refuse, and against a second allocator within the time of the
    // first.
    fleet_spec spec;
    spec.upstreams = {{"engine", {"small@1"}, {}, {}}};
    spec.edit_table = [](core::table& table) {
        table.rows.at({"account", "tester"}).columns["tokens_per_s"] = "800";
    };
    fleet nodes(spec);
    REQUIRE(wait_for_members(nodes));
    const std::string path = "/kv/figspoke/rates/tester";
    const auto stored_epoch = [&] {
        const auto answer = http_get(nodes.kv(), path);
        return answer.status == 200 ? json_of(answer).at("epoch").get<int>() : 0;
    };
    // More than the bucket of a node without a grant holds.
    const auto is_answered = [&] { return nodes.chat(0, chat_body("long", false, 200)).status == 200; };
    set_control(nodes.kv(), {{"keep_copy", true}});
    REQUIRE(wait_until([&] { return is_answered(); }));
    const int held = stored_epoch();
    REQUIRE(held > 0);
    set_control(nodes.kv(), {{"return_to_copy", true}});
    CHECK(wait_until([&] { return stored_epoch() > held; }, std::chrono::seconds(10)));
}
