#include <csignal>

#include <doctest/doctest.h>

#include "support/process/journal.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

struct told {
    int code = -1;
    json data;
};

// One run of `figspoke` with `--json` against a fleet.
struct tool_run {
    tool_run(const fleet& nodes, const std::string& name, std::vector<std::string> arguments, int node = 0)
        : process(program_path("cli/figspoke"), with_flags(nodes, name, std::move(arguments), node),
                  nodes.directory(), name) {}

    static std::vector<std::string> with_flags(const fleet& nodes, const std::string& author,
                                               std::vector<std::string> arguments, int node) {
        const std::vector<std::string> flags = {"--json", "--kv=" + nodes.kv(), "--node=" + nodes.node(node),
                                                "--author=" + author};
        arguments.insert(arguments.begin(), flags.begin(), flags.end());
        return arguments;
    }

    told finish() {
        const auto code = process.wait_for_exit(std::chrono::seconds(40));
        REQUIRE(code);
        INFO(process.output() << process.errors());
        return {*code, json::parse(process.output(), nullptr, false)};
    }

    child_process process;
};

fleet_spec small_fleet() {
    fleet_spec spec;
    spec.upstreams = {{"engine-1", {"small@1"}, {}, {}}};
    return spec;
}

int count_in_log(const core::table& table, const std::string& edit_id) {
    int count = 0;
    for (const auto& change : table.log) {
        count += change.edit_id == edit_id ? 1 : 0;
    }
    return count;
}

std::string weight_of(const core::table& table) {
    return table.rows.at({"account", "tester"}).columns.at("weight");
}

} // namespace

TEST_CASE("of two operators who race on one row each is told the truth") {
    // Guards against an edit that overwrites one which its operator never saw, or that is told as done and
    // isn't in the table.
    fleet nodes(small_fleet());
    set_control(nodes.kv(), {{"delay_ms", 500}});
    tool_run ann(nodes, "ann", {"table", "set", "account/tester", "weight=2"}, 0);
    tool_run bob(nodes, "bob", {"table", "set", "account/tester", "weight=3"}, 1);
    tool_run cid(nodes, "cid", {"table", "set", "account/other", "key_sha256=00", "allowed=small@1"}, 2);
    const auto by_ann = ann.finish();
    const auto by_bob = bob.finish();
    CHECK(cid.finish().code == 0);
    const auto table = nodes.read_table();
    CHECK(table.rows.count({"account", "other"}) == 1);
    CHECK(table.log.size() == 1U + (by_ann.code == 0 ? 1 : 0) + (by_bob.code == 0 ? 1 : 0));
    CHECK((by_ann.code == 0 || by_bob.code == 0));
    for (const auto& [mine, other] : {std::pair(by_ann, "bob"), std::pair(by_bob, "ann")}) {
        if (mine.code == 0) {
            CHECK(count_in_log(table, mine.data["edit_id"]) == 1);
            CHECK(mine.data["confirmed"].size() == 3);
        } else {
            CHECK(mine.code == 3);
            CHECK(mine.data["error"].get<std::string>().find(std::string("changed by ") + other) !=
                  std::string::npos);
        }
    }
}

TEST_CASE("an edit whose reply is lost is found in the log and not made again") {
    // Guards against a second write after an unclear answer, and against a wrong report of a slow node.
    fleet nodes(small_fleet());
    set_control(nodes.kv(), {{"drop_replies", 1}});
    tool_run set(nodes, "ann", {"table", "set", "account/tester", "weight=2"});
    const auto stored = set.finish();
    CHECK(stored.code == 0);
    CHECK(count_in_log(nodes.read_table(), stored.data["edit_id"]) == 1);
    tool_run unwatched(nodes, "bob", {"table", "set", "account/tester", "weight=3", "--wait_ms=0"});
    const auto pending = unwatched.finish();
    CHECK((pending.code == 4 || pending.data["accepted"] == true));
    CHECK(weight_of(nodes.read_table()) == "3");
    set_control(nodes.kv(), {{"down", true}});
    tool_run get(nodes, "cid", {"table", "get"});
    CHECK(get.finish().code == 2);
    set_control(nodes.kv(), {{"down", false}});
}

TEST_CASE("a file is imported whole or not at all") {
    // Guards against half an import and against a file that undoes what others did after the export.
    fleet nodes(small_fleet());
    const auto path = nodes.directory() + "/rows.csv";
    tool_run exported(nodes, "export", {"table", "export"});
    const auto csv = exported.finish().data["csv"].get<std::string>();
    write_file(path, csv + "account,new,,00,,,,,,small@1\r\naccount,bad,,00,heavy,,,,,small@1\r\n");
    tool_run bad(nodes, "bad", {"table", "import", path});
    CHECK(bad.finish().code == 1);
    CHECK(nodes.read_table().revision == 1);
    write_file(path, csv + "account,new,,00,,,,,,small@1\r\n");
    tool_run dry(nodes, "dry", {"table", "import", path, "--dry_run"});
    CHECK(dry.finish().data["changes"].size() == 1);
    CHECK(nodes.read_table().revision == 1);
    tool_run good(nodes, "good", {"table", "import", path});
    const auto done = good.finish();
    CHECK(done.code == 0);
    CHECK(done.data["confirmed"].size() == 3);
    CHECK(nodes.read_table().revision == 2);
    write_file(path, csv);
    tool_run old(nodes, "old", {"table", "import", path, "--remove_missing"});
    CHECK(old.finish().code == 3);
    tool_run diff(nodes, "diff", {"table", "diff", path});
    CHECK(diff.finish().code == 6);
    CHECK(nodes.read_table().rows.count({"account", "new"}) == 1);
}

TEST_CASE("a drained node finishes its stream and ends, and the others say so") {
    // Guards against a drain that cuts off a caller or is reported before the node has ended.
    auto spec = small_fleet();
    spec.upstreams.front().flags = {"--token_ms=40", "--answer_tokens_min=150", "--answer_tokens_max=150"};
    fleet nodes(spec);
    const json body = {{"model", "auto"},
                       {"messages", json::array({{{"role", "user"}, {"content", "a long draft"}}})},
                       {"stream", true},
                       {"max_tokens", 150}};
    child_process drainer(program_path("cli/figspoke"),
                          {"--json", "--node=" + nodes.node(2), "--wait_ms=30000", "drain"},
                          nodes.directory(), "drainer");
    const auto answer = nodes.chat(2, body);
    REQUIRE_MESSAGE(answer.status == 200, answer.body);
    CHECK(split_events(answer.body).size() >= 150);
    CHECK(split_events(answer.body).back() == "[DONE]");
    CHECK(drainer.wait_for_exit(std::chrono::seconds(40)) == 0);
    CHECK(json::parse(drainer.output())["confirmed_by_peers"] == true);
    CHECK(nodes.node_process(2).wait_for_exit() == 0);
    tool_run status(nodes, "status", {"status"});
    for (const auto& member : status.finish().data["members"]) {
        CHECK((member["id"] != "node2" || member["state"] == "left"));
    }
}

TEST_CASE("a node that is killed while it drains is not told as ended gracefully") {
    // Guards against a drain that reports finished work of a node that lost it.
    fleet nodes(small_fleet());
    REQUIRE(
        wait_until([&] { return json_of(http_get(nodes.node(1), "/admin/status"))["members"].size() == 3; }));
    tool_run drainer(nodes, "drainer", {"drain"}, 1);
    REQUIRE(wait_until([&] {
        const auto status = http_get(nodes.node(1), "/admin/status");
        return status.status == 200 && json_of(status)["draining"] == true;
    }));
    nodes.node_process(1).send_signal(SIGKILL);
    CHECK(drainer.finish().code == 7);
}

TEST_CASE("nodes that have just started accept no edit on behalf of nodes they have not heard of") {
    // Guards against an edit that is told as accepted while nodes still serve the old table.
    fleet nodes(small_fleet());
    const auto is_accepted = [&](int index) {
        const auto answer = json_of(http_get(nodes.node(index), "/admin/edit?revision=1&age_ms=0"));
        const bool accepted = answer["accepted"].get<bool>();
        CHECK((!accepted || answer["confirmed"].size() == 3));
        return accepted;
    };
    for (int i = 0; i < nodes.node_count(); ++i) {
        CHECK(wait_until([&] { return is_accepted(i); }));
    }
}

TEST_CASE("an edit is told as done only when it is in force, also after the key-value service lost others") {
    // Guards against nodes that confirm an edit by a revision that they hold from before the loss.
    fleet nodes(small_fleet());
    REQUIRE(wait_for_members(nodes));
    int runs = 0;
    const auto set_weight = [&](const std::string& weight) {
        tool_run set(nodes, "ann-" + std::to_string(++runs),
                     {"table", "set", "account/tester", "weight=" + weight});
        return set.finish();
    };
    for (int round = 0; round < 3; ++round) {
        set_control(nodes.kv(), {{"keep_copy", true}});
        REQUIRE(set_weight("2").code == 0);
        REQUIRE(set_weight("3").code == 0);
        set_control(nodes.kv(), {{"return_to_copy", true}});
        const auto set = set_weight(std::to_string(4 + round));
        CHECK(set.code == 0);
        for (int i = 0; i < nodes.node_count(); ++i) {
            CHECK(status_of(nodes, i).at("table_revision") == set.data["revision"]);
        }
    }
}

TEST_CASE("an operator learns of an edit that the key-value service lost before it was in effect") {
    // Guards against a tool that tells the operator to wait for an edit that nobody holds any more.
    fleet nodes(small_fleet());
    REQUIRE(wait_for_members(nodes));
    set_control(nodes.kv(), {{"keep_copy", true}});
    nodes.node_process(2).send_signal(SIGSTOP);
    tool_run set(nodes, "ann", {"table", "set", "account/tester", "weight=2", "--wait_ms=6000"});
    REQUIRE(wait_until([&] { return !nodes.read_table().log.empty(); }));
    set_control(nodes.kv(), {{"return_to_copy", true}});
    const auto lost = set.finish();
    nodes.node_process(2).send_signal(SIGCONT);
    CHECK(lost.code == 8);
    CHECK(lost.data.value("lost", false));
    tool_run again(nodes, "bob", {"table", "set", "account/tester", "weight=2"});
    const auto stored = again.finish();
    CHECK(stored.code == 0);
    CHECK_FALSE(stored.data.value("lost", true));
}

TEST_CASE("a load run follows the nodes that take work and repeats its plan") {
    // Guards against a generator that keeps to a leaving node, or whose runs can't be compared.
    auto spec = small_fleet();
    spec.upstreams.push_back({"shop", {}, {"parts_order"}, {}});
    fleet nodes(spec);
    const auto keys = nodes.directory() + "/keys";
    write_file(keys, std::string(test_api_key) + "\n");
    const std::vector<std::string> flags = {
        "load",         "--keys_file=" + keys,        "--rate=20", "--duration_s=7", "--answer_tokens=8",
        "--orders=0.2", "--order_service=parts_order"};
    tool_run first(nodes, "first", flags, 1);
    tool_run drainer(nodes, "drainer", {"drain"}, 1);
    CHECK(drainer.finish().code == 0);
    const auto moved = first.finish();
    CHECK(moved.data["errors"].empty());
    CHECK(moved.data["answered"] == moved.data["requests"]);
    CHECK(moved.data["requests"].get<int>() > 100);
    tool_run second(nodes, "second", flags, 0);
    const auto again = second.finish();
    for (const char* priority : {"urgent", "normal", "batch"}) {
        CHECK(again.data["priorities"][priority]["requests"] ==
              moved.data["priorities"][priority]["requests"]);
    }
}
