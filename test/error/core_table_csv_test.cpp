#include <doctest/doctest.h>

#include "core/table_csv.h"

using namespace figspoke::core;

namespace {

const std::string header = "kind,name,revision,key_sha256,allowed,weight,state\r\n";

std::string account_at_revision(const std::string& revision) {
    std::string text = header;
    text += "account,acme,";
    text += revision;
    text += ",00,small,,\r\n";
    return text;
}

std::string refusal(const std::string& text) {
    const auto edits = parse_table_csv(text);
    REQUIRE_FALSE(edits);
    CHECK(edits.error().kind == error_kind::bad_request);
    return edits.error().message;
}

} // namespace

TEST_CASE("a file with one bad row is refused whole with row, column, value and what is accepted") {
    // Guards against a half import, and against an error that leaves the operator searching.
    const std::string good = "account,acme,,00,small,1,\r\n";
    CHECK(refusal(header + good + "account,beta,,00,small,\"0,5\",\r\n") ==
          "line 3: row account/beta: column \"weight\" has the value \"0,5\"; accepted is a number from "
          "0.010000 to 1000");
    CHECK(refusal(header + good + "version,small@1,,,,,off\r\n") ==
          "line 3: row version/small@1: column \"state\" has the value \"off\"; accepted is one of active, "
          "retiring, withdrawn");
    CHECK(refusal(header + "account,beta,,,small,,\r\n") ==
          "line 2: row account/beta: column \"key_sha256\" has the value \"\"; accepted is text");
    CHECK(refusal(header + "version,small,,,,,\r\n") ==
          "line 2: row version/small: column \"name\" has the value \"small\"; accepted is MODEL@VERSION");
    CHECK(refusal(header + "acount,beta,,,,,\r\n") ==
          "line 2: row acount/beta: kind \"acount\" does not exist; accepted are account, version, upstream, "
          "service, priority");
    CHECK(refusal(header + "version,small@1,,,,2,\r\n").find("column \"weight\" does not exist") !=
          std::string::npos);
}

TEST_CASE("a revision that is no revision is refused") {
    // Guards against a damaged cell that is later told as somebody else's change.
    for (const std::string damaged : {"-1", "+3", "3.0", "1E+03", " 3", "3 ", "99999999999999999999"}) {
        CHECK(refusal(account_at_revision(damaged)) ==
              "line 2: column \"revision\" has the value \"" + damaged +
                  "\"; accepted is a whole number, or nothing for a new row");
    }
}

TEST_CASE("an error names the row that a spreadsheet shows") {
    // Guards against counting that skips the blank rows between groups.
    CHECK(refusal(header + "\r\n,,,,,,\r\naccount,acme,,00,small,heavy,\r\n").find("line 4: ") == 0);
}

TEST_CASE("a header that does not fit is refused by name") {
    // Guards against columns that are silently dropped after a typing error.
    CHECK(refusal("") == "line 1: the header line is missing");
    CHECK(refusal("kind,name\r\n") == "line 1: column \"revision\" is missing");
    CHECK(refusal("kind,name,revision,wieght\r\n") == "line 1: column \"wieght\" does not exist");
    CHECK(refusal("kind,name,revision,state,state\r\n") == "line 1: column \"state\" stands twice");
}

TEST_CASE("a damaged file is refused by line") {
    // Guards against rows that swallow each other after a lost quote.
    CHECK(refusal(header + "account,\"acme,,00,small,,\r\n") == "line 2: a quoted cell has no closing quote");
    CHECK(refusal(header + "account,\"ac\"me,,00,small,,\r\n") ==
          "line 2: characters follow a closing quote");
    CHECK(refusal(header + "account,acme,,00,small,1,,extra\r\n") ==
          "line 2: there are more cells than columns");
    CHECK(refusal(header + "account,acme,,00,small,1\r\naccount,acme,,00,small,2\r\n") ==
          "line 3: row account/acme stands twice");
}
