#include <doctest/doctest.h>

#include "state/entry_codec.h"
#include "state/journal_shard.h"
#include "state/ledger_page.h"

using namespace figspoke::state;

namespace {

journal_shard full_shard() {
    journal_shard shard;
    shard.epoch = 3;
    shard.owner = "10.0.0.1:80/7";
    shard.batch_ids = {"a/3/1"};
    shard.orders["order"] = {"acme", "b", "r", "n", order_state::completed, 200, "\xff\"\n", false, {}};
    shard.charges.push_back({"id", "acme", "key", "small@1", 1, 2, 3, 4, "w", 5, true});
    shard.writers["w"] = {3, {{5, 5}}, std::chrono::milliseconds(9)};
    shard.totals["acme"] = {1, 3, 4, 1, 2};
    shard.charged_keys["key"] = std::chrono::milliseconds(8);
    return shard;
}

} // namespace

TEST_CASE("shards, pages, entries and outcomes round-trip through encoding") {
    // Guards against a field that is lost in encoding or decoding, also if a body is not valid UTF-8.
    const std::string text = encode_shard(full_shard());
    const auto shard = decode_shard(text);
    REQUIRE(shard);
    CHECK(encode_shard(*shard) == text);
    CHECK(shard->orders.at("order").body == "\xff\"\n");
    const std::string page = encode_ledger_page(make_ledger_page(1, *shard, 10));
    CHECK(encode_ledger_page(decode_ledger_page(page).value()) == page);
    const journal_entry result =
        order_result{"o", "acme", "b", "r", "n", order_state::completed, 200, std::string("\0\x80", 2)};
    for (const journal_entry& entry :
         {journal_entry(shard->charges[0]), result, journal_entry(order_claim{"o", "acme", "b", "r", "n"})}) {
        CHECK(encode_entry(decode_entry(encode_entry(entry)).value()) == encode_entry(entry));
    }
    const apply_result outcome{entry_outcome::completed, 201, "\xfe", true, false};
    CHECK(decode_apply_result(encode_apply_result(outcome))->body == "\xfe");
}

TEST_CASE("malformed values are rejected with an error that names the wrong field") {
    // Guards against an owner that overwrites a value it could not decode, and errors that do not name the
    // field.
    const std::string text = encode_shard(full_shard());
    const auto message = [](std::string value, const std::string& from, const std::string& to) {
        value.replace(value.find(from), from.size(), to);
        const auto decoded = decode_shard(value);
        REQUIRE_FALSE(decoded);
        return decoded.error().message;
    };
    CHECK(message(text, "\"small@1\",1", "\"small@1\",\"1\"") ==
          "journal shard: field \"charges[0].prompt_tokens\" is not an integer");
    CHECK(message(text, "\"totals\"", "\"sums\"") == "journal shard: field \"totals\" is missing");
    CHECK(message(text, "\"r\",\"n\",1", "\"r\",\"n\",9") ==
          "journal shard: field \"orders.order.state\" is not a known state");
    CHECK(message(text, "[3,\"10", "[-3,\"10") ==
          "journal shard: field \"head.epoch\" is not a non-negative integer");
    for (std::size_t size = 0; size < text.size(); ++size) {
        CHECK_FALSE(decode_shard(text.substr(0, size)));
    }
    CHECK_FALSE(decode_ledger_page("[1,0,1]"));
    CHECK(decode_entry("[\"claim\",\"o\"]").error().message ==
          "journal entry: field \"entry.account\" is missing");
    CHECK_FALSE(decode_entry("[\"order\"]"));
}
