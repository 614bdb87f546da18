#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace figspoke::core {

/// Appends an unsigned number in groups of seven bits, the lowest first: one byte below 128.
void append_varint(std::string& out, std::uint64_t value);

/// Appends a signed number; small magnitudes of either sign take few bytes.
void append_signed(std::string& out, std::int64_t value);

/// Appends a hash or another number that uses all of its bits, in eight bytes.
void append_fixed64(std::string& out, std::uint64_t value);

/// Appends a hash or another number that uses all of its bits, in four bytes.
void append_fixed32(std::string& out, std::uint32_t value);

/// Appends the length of a text and its bytes.
void append_text(std::string& out, std::string_view text);

/// Bytes that remain to be read. After a read beyond the end or of an invalid number `is_valid` is false and
/// all further reads return zero or an empty text.
struct byte_reader {
    std::string_view remaining;
    bool is_valid = true;
};

std::uint8_t read_byte(byte_reader& reader);
std::uint64_t read_varint(byte_reader& reader);
std::int64_t read_signed(byte_reader& reader);
std::uint64_t read_fixed64(byte_reader& reader);
std::uint32_t read_fixed32(byte_reader& reader);

/// Returns a text, which refers to the bytes of the reader.
std::string_view read_text(byte_reader& reader);

/// Returns the number of entries of a list whose entries take at least `min_entry_bytes` each. A count that
/// the remaining bytes can't hold is invalid, so that no reader allocates memory for it.
std::size_t read_count(byte_reader& reader, std::size_t min_entry_bytes);

/// Returns whether all bytes were read and valid.
bool is_complete(const byte_reader& reader);

} // namespace figspoke::core
