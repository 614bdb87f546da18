#include <doctest/doctest.h>

#include "core/folded_line.h"

using namespace figspoke::core;

TEST_CASE("a line of a head that begins with a blank is found, wherever it stands") {
    // Guards against a line that the parser joins to the value of the field before it.
    CHECK(has_folded_line("HTTP/1.1 200 OK\r\n X-Odd: 1\r\n\r\n"));
    CHECK(has_folded_line("HTTP/1.1 200 OK\r\nX-A: 1\r\n\tX-Odd: 1\r\n\r\n"));
    CHECK(has_folded_line("X-A: 1\r\nX-B: 1\r\n "));
    CHECK_FALSE(has_folded_line(""));
    CHECK_FALSE(has_folded_line("HTTP/1.1 200 OK\r\nX-A: 1\r\nX-B:  2 \r\n\r\n"));
    CHECK_FALSE(has_folded_line("X-A: 1\r\n"));
    CHECK_FALSE(has_folded_line("X-A: 1\r"));
}

TEST_CASE("a blank at the beginning of a line of the body is no folded line") {
    // Guards against sound answers that are refused for the text of their bodies.
    CHECK_FALSE(has_folded_line("HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n\r\n indented\r\n\ttext"));
    CHECK_FALSE(has_folded_line("HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n indented"));
}
