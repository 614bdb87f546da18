#include <doctest/doctest.h>

#include "core/config.h"
#include "core/schema.h"

using namespace figspoke::core;

namespace {

row account_row() {
    return {{"account", "acme"}, 1, {{"key_sha256", "00"}, {"allowed", "small;large@2"}, {"weight", "2"}}};
}

} // namespace

TEST_CASE("a bad row is refused with row, column, value and what is accepted") {
    // Guards against an error that leaves an operator guessing which cell is wrong.
    row bad = account_row();
    bad.columns["weight"] = "heavy";
    const auto checked = check_row(bad);
    REQUIRE_FALSE(checked);
    CHECK(checked.error().kind == error_kind::bad_request);
    CHECK(checked.error().message == "row account/acme: column \"weight\" has the value \"heavy\"; accepted "
                                     "is a number from 0.010000 to 1000");
}

TEST_CASE("an account may use the versions and models of its list only") {
    // Guards against a request on a version that its account does not allow.
    table source;
    source.rows[{"account", "acme"}] = account_row();
    source.rows[{"version", "small@1"}] = {{"version", "small@1"}, 1, {}};
    source.rows[{"version", "large@1"}] = {{"version", "large@1"}, 1, {}};
    source.rows[{"version", "large@2"}] = {{"version", "large@2"}, 1, {}};
    const auto snapshot = build_snapshot(source);
    REQUIRE(snapshot);
    const auto& account = snapshot->accounts.at("acme");
    CHECK(is_allowed(account, snapshot->versions.at("small@1")));
    CHECK(is_allowed(account, snapshot->versions.at("large@2")));
    CHECK_FALSE(is_allowed(account, snapshot->versions.at("large@1")));
}

TEST_CASE("a table survives encoding") {
    // Guards against a field that is lost between the nodes and the key-value service.
    table source;
    source.revision = 7;
    source.rows[{"account", "acme"}] = account_row();
    source.log.push_back({7, {"account", "acme"}, "set", "ann", "e1"});
    const auto decoded = decode_table(encode_table(source));
    REQUIRE(decoded);
    CHECK(encode_table(*decoded) == encode_table(source));
    CHECK_FALSE(decode_table("{\"revision\":1}"));
}
