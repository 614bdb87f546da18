#include <chrono>
#include <csignal>
#include <future>
#include <thread>

#include <doctest/doctest.h>

#include "support/process/journal.h"
#include "support/process/requests.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec two_versions(int nodes, std::vector<std::string> flags = {}) {
    fleet_spec spec;
    spec.nodes = nodes;
    spec.upstreams = {{"engine", {"small@1", "large@1"}, {}, std::move(flags)}};
    return spec;
}

void withdraw(fleet& nodes, const std::string& version) {
    nodes.change_table([&](core::table& table) {
        table.rows.at({"version", version}).columns["state"] = "withdrawn";
    });
}

json large_body(const std::string& text) {
    json body = chat_body(text, false);
    body["model"] = "large@1";
    return body;
}

// `stored_at` is when the edit was stored.
bool is_accepted(const fleet& nodes, int index, std::uint64_t revision,
                 std::chrono::steady_clock::time_point stored_at) {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - stored_at);
    const auto answer = http_get(nodes.node(index), "/admin/edit?revision=" + std::to_string(revision) +
                                                        "&age_ms=" + std::to_string(age.count()));
    return json_of(answer).at("accepted").get<bool>();
}

int runs_of(fleet& nodes, const std::string& version) {
    int count = 0;
    const auto executions = nodes.executions();
    for (const auto& execution : executions) {
        count += execution.at("version") == version ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("each edit is in force on every node within 4 s and no node goes back, also one that starts late") {
    // Guards against a node that misses an edit or takes an older table from a peer.
    fleet nodes(two_versions(3));
    REQUIRE(wait_for_members(nodes));
    std::vector<std::uint64_t> highest(3, 0);
    const auto in_force = [&](std::uint64_t revision) {
        bool all = true;
        for (int i = 0; i < 3; ++i) {
            const auto seen = status_of(nodes, i).at("table_revision").get<std::uint64_t>();
            CHECK(seen >= highest[static_cast<std::size_t>(i)]);
            highest[static_cast<std::size_t>(i)] = seen;
            all = all && seen >= revision;
        }
        return all;
    };
    for (int edit = 0; edit < 8; ++edit) {
        nodes.change_table([](core::table& table) {
            table.rows.at({"version", "small@1"}).columns["price_in"] = std::to_string(table.revision);
        });
        const auto revision = nodes.read_table().revision;
        CHECK(wait_until([&] { return in_force(revision); }, std::chrono::seconds(4)));
    }
    // The account loses a version: no node may run it for that account, by name or for its conversation.
    const auto token = nodes.chat(0, large_body("first")).headers.at("x-figspoke-conversation");
    for (int i = 0; i < 3; ++i) {
        const auto kept = nodes.chat(i, chat_body("next", false), {{"x-figspoke-conversation", token}});
        CHECK(kept.headers.at("x-figspoke-version") == "large@1");
    }
    nodes.change_table([](core::table& table) {
        table.rows.at({"account", "tester"}).columns["allowed"] = "small@1";
    });
    const auto last = nodes.read_table().revision;
    REQUIRE(wait_until([&] { return in_force(last); }, std::chrono::seconds(4)));
    for (int i = 0; i < 3; ++i) {
        CHECK(execution_of(nodes.chat(i, large_body("again"))) == "not_run");
        const auto kept = nodes.chat(i, chat_body("next", false), {{"x-figspoke-conversation", token}});
        CHECK_MESSAGE(execution_of(kept) == "not_run", kept.body);
    }
    // A node that starts while the key-value service is down has only its peers to ask.
    nodes.node_process(2).send_signal(SIGKILL);
    REQUIRE(nodes.node_process(2).wait_for_exit());
    set_control(nodes.kv(), {{"down", true}});
    nodes.start_node(2);
    REQUIRE(wait_until([&] { return status_of(nodes, 2).at("table_revision") == last; }));
    CHECK(wait_until([&] { return nodes.chat(2, chat_body("late", false)).status == 200; }));
    CHECK(execution_of(nodes.chat(2, large_body("late"))) == "not_run");
    CHECK(runs_of(nodes, "large@1") == 4);
}

TEST_CASE("a node cut off from the key-value service and its peers refuses new work as not run") {
    // Guards against a node that serves by a table that the others may have changed.
    fleet nodes(two_versions(3));
    REQUIRE(wait_for_members(nodes));
    set_control(nodes.kv(), {{"down", true}});
    CHECK(nodes.chat(0, chat_body("majority", false)).status == 200);
    nodes.node_process(1).send_signal(SIGSTOP);
    nodes.node_process(2).send_signal(SIGSTOP);
    http_answer refused;
    CHECK(wait_until([&] {
        refused = nodes.chat(0, chat_body("alone", false));
        return refused.status != 200;
    }));
    CHECK_MESSAGE(kind_of(refused) == "isolated", refused.body);
    CHECK(execution_of(refused) == "not_run");
    const auto before = nodes.executions().size();
    for (int i = 0; i < 10; ++i) {
        CHECK(kind_of(nodes.chat(0, chat_body("still alone", false))) == "isolated");
    }
    CHECK(nodes.executions().size() == before);
    nodes.node_process(1).send_signal(SIGCONT);
    nodes.node_process(2).send_signal(SIGCONT);
    http_answer joined;
    const bool serves = wait_until([&] {
        joined = nodes.chat(0, chat_body("joined", false));
        return joined.status == 200;
    });
    CHECK_MESSAGE(serves, joined.body);
}

TEST_CASE("a paused node does not serve from its old table when it wakes up") {
    // Guards against requests that are served by a table from before the pause.
    fleet nodes(two_versions(3));
    REQUIRE(wait_for_members(nodes));
    REQUIRE(nodes.chat(0, large_body("before")).status == 200);
    nodes.node_process(0).send_signal(SIGSTOP);
    withdraw(nodes, "large@1");
    const auto stored_at = std::chrono::steady_clock::now();
    const auto revision = nodes.read_table().revision;
    REQUIRE(wait_until([&] { return is_accepted(nodes, 1, revision, stored_at); }));
    std::vector<std::future<http_answer>> waiting(8);
    for (auto& pending : waiting) {
        pending = std::async(std::launch::async, [&] { return nodes.chat(0, large_body("woken")); });
    }
    nodes.node_process(0).send_signal(SIGCONT);
    for (auto& pending : waiting) {
        const auto answer = pending.get();
        CHECK_MESSAGE(answer.status != 200, answer.body);
        CHECK(execution_of(answer) == "not_run");
    }
    CHECK(runs_of(nodes, "large@1") == 1);
}

TEST_CASE("a request that waits for a slot does not run on a version that is withdrawn meanwhile") {
    // Guards against a dispatch by the table that was in force when the request arrived.
    auto spec = two_versions(1, {"--slots=1", "--first_token_ms=1500"});
    spec.edit_table = [](core::table& table) {
        table.rows.at({"upstream", "engine"}).columns["slots"] = "1";
    };
    fleet nodes(spec);
    std::vector<std::future<http_answer>> waiting(3);
    for (auto& pending : waiting) {
        pending = std::async(std::launch::async, [&] { return nodes.chat(0, large_body("wait")); });
    }
    REQUIRE(wait_until([&] {
        const auto admission = status_of(nodes, 0).at("admission");
        return admission.at("running") == 1 && admission.at("waiting") == 2;
    }));
    withdraw(nodes, "large@1");
    const auto stored_at = std::chrono::steady_clock::now();
    const auto revision = nodes.read_table().revision;
    REQUIRE(wait_until([&] { return is_accepted(nodes, 0, revision, stored_at); }));
    const int before = runs_of(nodes, "large@1");
    for (auto& pending : waiting) {
        const auto answer = pending.get();
        const bool fitting = answer.status == 200 || kind_of(answer) == "version_withdrawn";
        CHECK_MESSAGE(fitting, answer.body);
    }
    CHECK(runs_of(nodes, "large@1") == before);
    CHECK(before < 3);
}

TEST_CASE("an edit made after the key-value service came back from an older copy is in force on every node") {
    // Guards against nodes that take the table for an older or for the same one by its revision alone.
    fleet nodes(two_versions(3));
    REQUIRE(wait_for_members(nodes));
    const auto change_price = [&](const std::string& price) {
        nodes.change_table([&](core::table& table) {
            table.rows.at({"version", "small@1"}).columns["price_in"] = price;
        });
    };
    const auto in_force = [&](std::uint64_t revision) {
        for (int i = 0; i < 3; ++i) {
            if (status_of(nodes, i).at("table_revision") != revision) {
                return false;
            }
        }
        return true;
    };
    const std::chrono::seconds limit(4);
    set_control(nodes.kv(), {{"keep_copy", true}});
    const auto kept = nodes.read_table().revision;
    change_price("11");
    change_price("12");
    REQUIRE(wait_until([&] { return in_force(kept + 2); }, limit));
    REQUIRE(nodes.chat(0, large_body("before")).status == 200);

    SUBCASE("with a lower revision") {
        set_control(nodes.kv(), {{"return_to_copy", true}});
        withdraw(nodes, "large@1");
        CHECK(wait_until([&] { return in_force(kept + 1); }, limit));
    }
    SUBCASE("with the same revision") {
        set_control(nodes.kv(), {{"return_to_copy", true}});
        change_price("13");
        withdraw(nodes, "large@1");
    }
    SUBCASE("twice in a row") {
        set_control(nodes.kv(), {{"return_to_copy", true}});
        change_price("13");
        CHECK(wait_until([&] { return in_force(kept + 1); }, limit));
        set_control(nodes.kv(), {{"return_to_copy", true}});
        withdraw(nodes, "large@1");
    }
    for (int i = 0; i < 3; ++i) {
        http_answer refused;
        const bool withdrawn = wait_until(
            [&] {
                refused = nodes.chat(i, large_body("after"));
                return refused.status != 200;
            },
            limit);
        CHECK_MESSAGE(withdrawn, i);
        CHECK(kind_of(refused) == "version_withdrawn");
    }
    CHECK(status_of(nodes, 0).at("store_returns").at("count") >= 1);
    CHECK(http_get(nodes.node(0), "/metrics").body.find("figspoke_store_returns_total") != std::string::npos);
    for (int round = 0; round < 30; ++round) {
        CHECK(kind_of(nodes.chat(round % 3, large_body("still"))) == "version_withdrawn");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
}

TEST_CASE("the roster that the nodes hold is recorded again where the key-value service lost it") {
    // Guards against a fleet whose next start counts voters that are gone and misses those that joined.
    fleet nodes(two_versions(3));
    REQUIRE(wait_for_members(nodes));
    const auto recorded = [&] { return json_of(http_get(nodes.kv(), "/kv/figspoke/members")); };
    const auto version = [&] { return recorded().at("version").get<std::uint64_t>(); };
    REQUIRE(wait_until([&] { return recorded().at("joining").empty(); }));
    const auto older = recorded();
    set_control(nodes.kv(), {{"keep_copy", true}});
    nodes.node_process(2).send_signal(SIGKILL);
    REQUIRE(nodes.node_process(2).wait_for_exit());
    nodes.start_node(2);
    const auto incarnation = [](const json& roster) { return roster.at("voters").value("node2", 0); };
    REQUIRE(wait_until([&] {
        const auto now = recorded();
        return incarnation(now) != 0 && incarnation(now) != incarnation(older) && now.at("joining").empty();
    }));
    const auto newest = recorded();
    set_control(nodes.kv(), {{"return_to_copy", true}});
    CHECK(wait_until([&] { return version() >= newest.at("version"); }, std::chrono::seconds(6)));
    CHECK(recorded().at("voters") == newest.at("voters"));
}
