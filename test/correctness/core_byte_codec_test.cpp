#include <limits>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/byte_codec.h"

using namespace figspoke::core;

TEST_CASE("numbers and texts of any value are read back, and nothing else is left") {
    CHECK(rc::check(
        [](std::uint64_t number, std::int64_t with_sign, std::uint32_t hash, const std::string& text) {
            std::string bytes;
            append_varint(bytes, number);
            append_signed(bytes, with_sign);
            append_fixed32(bytes, hash);
            append_fixed64(bytes, number);
            append_text(bytes, text);
            byte_reader reader{bytes};
            RC_ASSERT(read_varint(reader) == number);
            RC_ASSERT(read_signed(reader) == with_sign);
            RC_ASSERT(read_fixed32(reader) == hash);
            RC_ASSERT(read_fixed64(reader) == number);
            RC_ASSERT(read_text(reader) == text);
            RC_ASSERT(is_complete(reader));
        }));
    for (const auto value : {std::numeric_limits<std::int64_t>::min(), std::int64_t(-1), std::int64_t(0),
                             std::numeric_limits<std::int64_t>::max()}) {
        std::string bytes;
        append_signed(bytes, value);
        byte_reader reader{bytes};
        CHECK(read_signed(reader) == value);
    }
}

TEST_CASE("reading beyond the end or an endless number makes the reader invalid") {
    byte_reader empty;
    CHECK(read_byte(empty) == 0);
    CHECK_FALSE(empty.is_valid);
    const std::string endless(11, '\xff');
    byte_reader number{endless};
    CHECK(read_varint(number) == 0);
    CHECK_FALSE(number.is_valid);
    byte_reader text{std::string_view("\x05"
                                      "abc")};
    CHECK(read_text(text).empty());
    CHECK_FALSE(text.is_valid);
}

TEST_CASE("a count that the remaining bytes can't hold is invalid") {
    // Guards against a datagram of a few bytes that makes a node reserve memory for billions of entries.
    std::string bytes;
    append_varint(bytes, std::uint64_t(1) << 40U);
    bytes.append(100, 'x');
    byte_reader reader{bytes};
    CHECK(read_count(reader, 1) == 0);
    CHECK_FALSE(reader.is_valid);
}
