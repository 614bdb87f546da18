#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/config.h"
#include "core/csv.h"
#include "core/settings.h"
#include "core/table.h"
#include "core/table_csv.h"
#include "state/conversation_token.h"
#include "state/journal_shard.h"
#include "state/ledger_page.h"

using namespace figspoke;

namespace {

// Texts made of pieces that the parsers react to, so that generated input gets past the first character.
std::string arbitrary_text() {
    static const std::vector<std::string> pieces = {
        "{",        "}",       "[",    "]",       "\"",      ":",   ",",  ";",      "\n",
        "\r\n",     "\t",      "=",    "\\",      "\xef",    "0",   "-1", "1e9",    "null",
        "true",     "kind",    "name", "row",     "v1",      ".",   "a",  "[node]", "id",
        "revision", "columns", "rows", "account", "version", "log", "#",  "'",      "\xff"};
    const auto indices =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, static_cast<int>(pieces.size())));
    std::string text;
    for (const int index : indices) {
        text += pieces[static_cast<std::size_t>(index)];
    }
    return text;
}

} // namespace

TEST_CASE("no parser throws or crashes on arbitrary text") {
    // Guards against input from outside that ends a process instead of getting its error.
    CHECK(rc::check([] {
        const std::string text = arbitrary_text();
        core::parse_csv(text);
        core::parse_table_csv(text);
        core::parse_settings(text);
        core::decode_table(text);
        state::decode_shard(text);
        state::decode_ledger_page(text);
        state::verify_conversation_token("secret", "acme", text);
    }));
}

TEST_CASE("a damaged encoding is refused or read, and never throws") {
    // Guards against a truncated or altered value of the key-value service.
    core::table table;
    table.revision = 3;
    const core::row_key key{"version", "m@1"};
    table.rows[key] = {key, 3, {{"rollout_percent", "10"}}};
    const std::string encoded = core::encode_table(table);
    CHECK(rc::check([&] {
        std::string damaged = encoded;
        const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(encoded.size())));
        damaged[at] = *rc::gen::arbitrary<char>();
        damaged.resize(static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(encoded.size()) + 1)));
        const auto decoded = core::decode_table(damaged);
        if (decoded) {
            core::build_snapshot(*decoded);
        }
    }));
}

TEST_CASE("cells survive a round trip through CSV") {
    // Guards against quoting that loses or joins cells.
    CHECK(rc::check([](const std::vector<std::string>& cells) {
        // A line whose cells are all empty is blank and left out.
        const bool has_content = !cells.empty() && !cells.front().empty();
        RC_PRE(has_content);
        const auto parsed = core::parse_csv("a,b\r\n" + core::render_csv_line(cells));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed->back() == cells);
    }));
}
