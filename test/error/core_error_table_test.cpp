#include <set>

#include <doctest/doctest.h>

#include "core/error.h"

using namespace figspoke::core;

TEST_CASE("each error kind has its own row in the error table") {
    // Guards against a kind that is added to the list without an answer, or out of order.
    std::set<std::string_view> names;
    for (int i = 0; i < error_kind_count; ++i) {
        const auto kind = static_cast<error_kind>(i);
        const auto& answer = error_answer_for(kind);
        CHECK(answer.kind == kind);
        CHECK(answer.http_status >= 400);
        names.insert(answer.name);
    }
    CHECK(names.size() == error_kind_count);
}
