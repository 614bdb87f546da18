#include <csignal>
#include <cstdlib>
#include <regex>
#include <sstream>

#include <doctest/doctest.h>

#include "core/table_edit.h"
#include "support/process/journal.h"
#include "support/process/requests.h"

// Golden files of whole sessions: what the caller, the journal and the decision log saw. Ids, addresses and
// times are replaced. To write the files anew, run the cases with FIGSPOKE_WRITE_GOLDEN=1 and read the
// change.

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec golden_fleet() {
    fleet_spec spec;
    spec.upstreams = {
        {"engine", {"large@1", "small@1"}, {}, {"--answer_tokens_min=4", "--answer_tokens_max=4"}},
        {"shop", {}, {"parts_order"}, {}}};
    spec.edit_table = [](core::table& table) {
        table.rows.at({"version", "small@1"}).columns["price_out"] = "200";
        table.rows.at({"version", "small@1"}).columns["quality"] = "0.95";
    };
    return spec;
}

std::string replace_all(const std::string& text, const std::string& pattern, const std::string& with) {
    return std::regex_replace(text, std::regex(pattern), with);
}

std::string normalise(const std::string& text) {
    std::string result = replace_all(text, "[0-9a-f]{64}", "SHA256");
    result = replace_all(result, "v1(\\.[0-9a-f]+)+", "TOKEN");
    result = replace_all(result, "[0-9a-f]{24}", "REQUEST");
    result = replace_all(result, "\"conversation\":\"[0-9a-f]{16}\"", "\"conversation\":\"ID\"");
    result = replace_all(result, "127\\.0\\.0\\.1:[0-9]+", "ADDRESS");
    result = replace_all(result, "\"(duration_ms|first_token_ms|retry_after_ms)\":[0-9]+", "\"$1\":0");
    result = replace_all(result, "\"quality\":[0-9.]+", "\"quality\":0");
    return result;
}

// Collects a session line by line and compares it with its golden file.
class session {
  public:
    explicit session(std::string name) : name_(std::move(name)) {}

    void add(const std::string& who, const std::string& text) {
        text_ += who + ": " + normalise(text) + "\n";
    }

    void add_answer(const http_answer& answer) {
        add("caller", "status " + std::to_string(answer.status));
        std::istringstream lines(answer.body);
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty()) {
                add("caller", line);
            }
        }
    }

    void add_log(const child_process& process, const std::string& event) {
        std::istringstream lines(process.output());
        for (std::string line; std::getline(lines, line);) {
            const json parsed = json::parse(line, nullptr, false);
            if (parsed.is_object() && parsed.value("event", std::string()) == event) {
                add("log", line);
            }
        }
    }

    void add_journal(const fleet& nodes) {
        for (const auto& charge : read_charges(nodes)) {
            add("journal", "charge account=" + charge.account + " version=" + charge.version +
                               " tokens=" + std::to_string(charge.prompt_tokens) + "+" +
                               std::to_string(charge.generated_tokens) + " micros=" +
                               std::to_string(charge.micros) + (charge.key_id.empty() ? "" : " keyed"));
        }
        for (const auto& [number, shard] : read_shards(nodes)) {
            for (const auto& [id, order] : shard.orders) {
                add("journal", "order state=" + std::to_string(static_cast<int>(order.state)) +
                                   " status=" + std::to_string(order.status));
            }
        }
    }

    void check() const {
        const std::string path = std::string(FIGSPOKE_GOLDEN_DIR) + "/" + name_ + ".txt";
        if (std::getenv("FIGSPOKE_WRITE_GOLDEN") != nullptr) {
            write_file(path, text_);
        }
        CHECK(text_ == read_file(path));
    }

  private:
    std::string name_;
    std::string text_;
};

std::size_t count_in(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

// Waits until the process has written so many lines of an event.
bool has_logged(child_process& process, const std::string& event, std::size_t lines = 1) {
    const auto name = "\"event\":\"" + event + "\"";
    return wait_until([&] { return count_in(process.output(), name) >= lines; });
}

bool all_settled(const fleet& nodes) {
    return wait_until([&] { return is_settled(nodes, {0, 1, 2}); });
}

} // namespace

TEST_CASE("golden session: a streamed chat") {
    // Guards against an unnoticed change of what callers, the journal and the log see of a chat.
    fleet nodes(golden_fleet());
    session record("streamed_chat");
    record.add_answer(nodes.chat(0, chat_body("What are the opening hours?", true)));
    REQUIRE(all_settled(nodes));
    record.add_journal(nodes);
    REQUIRE(has_logged(nodes.node_process(0), "route"));
    record.add_log(nodes.node_process(0), "route");
    record.check();
}

TEST_CASE("golden session: an order sent twice") {
    // Guards against an unnoticed change of the answers to a repeated order.
    fleet nodes(golden_fleet());
    session record("order_twice");
    record.add_answer(place_order(nodes, 0, "order-1"));
    record.add_answer(place_order(nodes, 1, "order-1"));
    record.add_answer(place_order(nodes, 2, "order-1", R"({"units":5})"));
    REQUIRE(all_settled(nodes));
    record.add_journal(nodes);
    for (int i = 0; i < 3; ++i) {
        REQUIRE(has_logged(nodes.node_process(i), "order"));
        record.add_log(nodes.node_process(i), "order");
    }
    record.check();
}

TEST_CASE("golden session: a withdrawn version") {
    // Guards against an unnoticed change of what callers of a withdrawn version are told.
    fleet nodes(golden_fleet());
    session record("withdrawn_version");
    json body = chat_body("hello", false);
    body["model"] = "large@1";
    const auto first = nodes.chat(0, body);
    record.add_answer(first);
    nodes.change_table([](core::table& table) {
        table.rows.at({"version", "large@1"}).columns["state"] = "withdrawn";
    });
    const auto revision = nodes.read_table().revision;
    REQUIRE(wait_until([&] { return status_of(nodes, 0)["table_revision"] == revision; }));
    const auto token = first.headers.at("x-figspoke-conversation");
    record.add_answer(nodes.chat(0, body));
    record.add_answer(nodes.chat(0, chat_body("again", false), {{"x-figspoke-conversation", token}}));
    REQUIRE(has_logged(nodes.node_process(0), "route", 3));
    record.add_log(nodes.node_process(0), "route");
    record.check();
}

TEST_CASE("golden session: two operators race on one row") {
    // Guards against an unnoticed change of what the loser of a race is told.
    core::table table;
    table.revision = 3;
    table.rows[{"version", "small@1"}] = {{"version", "small@1"}, 3, {{"rollout_percent", "100"}}};
    session record("table_race");
    const core::row_edit first{{"version", "small@1"}, 3, {{{"rollout_percent", "50"}}}};
    const core::row_edit second{{"version", "small@1"}, 3, {{{"state", "withdrawn"}}}};
    const auto won = core::apply_edits(table, {first}, {"ann", "e1"});
    REQUIRE(won);
    record.add("operator ann", "revision " + std::to_string(won->revision));
    const auto lost = core::apply_edits(*won, {second}, {"bob", "e2"});
    REQUIRE_FALSE(lost);
    record.add("operator bob", lost.error().message);
    const core::row_edit bad{{"version", "small@1"}, won->revision, {{{"rollout_percent", "150"}}}};
    record.add("operator bob", core::apply_edits(*won, {bad}, {"bob", "e3"}).error().message);
    record.add("table", core::encode_table(*won));
    record.check();
}

TEST_CASE("golden session: a graceful stop") {
    // Guards against an unnoticed change of what a stopping node tells its callers and operators.
    fleet nodes(golden_fleet());
    REQUIRE(wait_for_members(nodes));
    session record("graceful_stop");
    nodes.node_process(0).send_signal(SIGTERM);
    http_answer refused;
    REQUIRE(wait_until([&] {
        refused = nodes.chat(0, chat_body("late", false));
        return refused.status != 200;
    }));
    const json error = json_of(refused).at("error");
    record.add("caller", "status " + std::to_string(refused.status) + " kind " + kind_of(refused) +
                             " execution " + execution_of(refused) + " addresses " +
                             std::to_string(error.at("addresses").size()));
    const auto code = nodes.node_process(0).wait_for_exit();
    record.add("operator", "exit code " + std::to_string(code.value_or(-1)));
    record.add_log(nodes.node_process(0), "draining");
    record.add_log(nodes.node_process(0), "stopped");
    record.check();
}
