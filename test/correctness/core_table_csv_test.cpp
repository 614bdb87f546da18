#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/csv.h"
#include "core/schema.h"
#include "core/table_csv.h"

using namespace figspoke::core;

namespace {

// How a spreadsheet writes what it read.
struct habits {
    char separator;
    bool byte_order_mark;
    bool line_feed_only;
    bool quotes_all;
    bool drops_trailing_cells;
    bool adds_blank_lines;
};

std::string quoted(const std::string& cell) {
    std::string text = "\"";
    for (const char c : cell) {
        text += c == '"' ? "\"\"" : std::string(1, c);
    }
    return text + "\"";
}

std::string resave(const std::string& csv, const habits& how) {
    const auto lines = parse_csv(csv).value();
    const std::string line_end = how.line_feed_only ? "\n" : "\r\n";
    std::string text = how.byte_order_mark ? "\xef\xbb\xbf" : "";
    for (auto cells : lines) {
        while (how.drops_trailing_cells && !cells.empty() && cells.back().empty()) {
            cells.pop_back();
        }
        for (std::size_t i = 0; i < cells.size(); ++i) {
            const bool needs_quotes = cells[i].find_first_of("\"\r\n,;\t") != std::string::npos;
            text += i == 0 ? "" : std::string(1, how.separator);
            text += how.quotes_all || needs_quotes ? quoted(cells[i]) : cells[i];
        }
        text += line_end;
        if (how.adds_blank_lines) {
            text.append(3, how.separator);
            text += line_end;
        }
    }
    return text;
}

rc::Gen<std::string> any_text() {
    return rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab;,\t\"\n\r =@1\xc3\xa9"))));
}

std::string numbered(std::string name, const char* mark, int number) {
    name += mark;
    name += std::to_string(number);
    return name;
}

table any_table() {
    table value;
    value.revision = 20;
    const int count = *rc::gen::inRange(1, 5);
    for (int i = 0; i < count; ++i) {
        row account{{"account", numbered(*any_text(), "", i)}, *rc::gen::inRange<std::uint64_t>(1, 20), {}};
        account.columns = {
            {"key_sha256", *any_text()}, {"allowed", "small;" + *any_text()}, {"weight", "0.5"}};
        value.rows[account.key] = account;
        row version{{"version", numbered(*any_text(), "@", i)}, 3, {{"state", "retiring"}}};
        value.rows[version.key] = version;
    }
    return value;
}

} // namespace

TEST_CASE("a table survives a round trip through a spreadsheet") {
    // Guards against an import that changes cells nobody edited, or that takes old rows for new ones.
    CHECK(rc::check("export, save in a spreadsheet, import", [] {
        const auto source = any_table();
        const habits how{*rc::gen::element(',', ';', '\t'), *rc::gen::arbitrary<bool>(),
                         *rc::gen::arbitrary<bool>(),       *rc::gen::arbitrary<bool>(),
                         *rc::gen::arbitrary<bool>(),       *rc::gen::arbitrary<bool>()};
        const auto edits = parse_table_csv(resave(render_table_csv(source), how));
        RC_ASSERT(edits.has_value());
        RC_ASSERT(edits->size() == source.rows.size());
        for (const auto& edit : *edits) {
            RC_ASSERT(source.rows.count(edit.key) == 1);
            RC_ASSERT(edit.seen_revision == source.rows.at(edit.key).revision);
            RC_ASSERT(edit.columns == source.rows.at(edit.key).columns);
        }
        RC_ASSERT(apply_edits(source, *edits, {"ann", "e"})->revision == source.revision);
    }));
}

TEST_CASE("an import stores what changed and nothing else") {
    // Guards against a spreadsheet that raises the revision of rows that it left alone.
    table source;
    source.revision = 5;
    source.rows[{"version", "small@1"}] = {{"version", "small@1"}, 4, {{"state", "active"}}};
    source.rows[{"version", "small@2"}] = {{"version", "small@2"}, 5, {}};
    const auto edits = parse_table_csv("kind;name;revision;state\r\nversion;small@1;4;withdrawn\r\n"
                                       "version;small@2;5\r\nversion;small@3;;retiring\r\n");
    REQUIRE(edits);
    const auto next = apply_edits(source, *edits, {"ann", "e"}).value();
    CHECK(next.revision == 6);
    CHECK(next.rows.at({"version", "small@1"}).revision == 6);
    CHECK(next.rows.at({"version", "small@2"}).revision == 5);
    CHECK(next.rows.at({"version", "small@3"}).columns.at("state") == "retiring");
    CHECK(next.log.size() == 2);
}
