#include <initializer_list>

#include <doctest/doctest.h>

#include "core/answer_status.h"

using namespace figspoke::core;

TEST_CASE("only the statuses of HTTP are those of an answer") {
    // Guards against statuses of senseless bytes, which read as three digits too.
    for (const int status : {0, 7, 99, 101, 600, 999}) {
        CHECK(kind_of_status(status) == answer_kind::invalid);
    }
    for (const int status : {100, 102, 103, 199}) {
        CHECK(kind_of_status(status) == answer_kind::interim);
    }
    for (const int status : {200, 204, 304, 404, 503, 599}) {
        CHECK(kind_of_status(status) == answer_kind::final_answer);
    }
}
