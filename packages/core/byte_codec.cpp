#include "core/byte_codec.h"

namespace figspoke::core {
namespace {

constexpr std::uint8_t more_groups = 0x80;
constexpr std::uint8_t group_mask = 0x7f;

// The layout is little-endian on every host.
template <class Number>
void append_fixed(std::string& out, Number value) {
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        out.push_back(static_cast<char>(value >> (8U * i)));
    }
}

template <class Number>
Number read_fixed(byte_reader& reader) {
    Number value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value |= Number(Number(read_byte(reader)) << (8U * i));
    }
    return value;
}

void invalidate(byte_reader& reader) {
    reader.is_valid = false;
    reader.remaining = {};
}

} // namespace

void append_varint(std::string& out, std::uint64_t value) {
    while (value >= more_groups) {
        out.push_back(static_cast<char>(more_groups | (value & group_mask)));
        value >>= 7U;
    }
    out.push_back(static_cast<char>(value));
}

// The sign moves to the lowest bit (zigzag), so that small negative numbers stay short.
void append_signed(std::string& out, std::int64_t value) {
    const auto shifted = std::uint64_t(value) << 1U;
    append_varint(out, value < 0 ? ~shifted : shifted);
}

void append_fixed64(std::string& out, std::uint64_t value) {
    append_fixed(out, value);
}

void append_fixed32(std::string& out, std::uint32_t value) {
    append_fixed(out, value);
}

void append_text(std::string& out, std::string_view text) {
    append_varint(out, text.size());
    out.append(text);
}

std::uint8_t read_byte(byte_reader& reader) {
    if (reader.remaining.empty()) {
        reader.is_valid = false;
        return 0;
    }
    const auto value = static_cast<std::uint8_t>(reader.remaining.front());
    reader.remaining.remove_prefix(1);
    return value;
}

std::uint64_t read_varint(byte_reader& reader) {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
        const std::uint8_t group = read_byte(reader);
        value |= std::uint64_t(group & group_mask) << shift;
        if ((group & more_groups) == 0) {
            return reader.is_valid ? value : 0;
        }
    }
    invalidate(reader);
    return 0;
}

std::int64_t read_signed(byte_reader& reader) {
    const auto value = read_varint(reader);
    const auto magnitude = value >> 1U;
    return std::int64_t((value & 1U) != 0 ? ~magnitude : magnitude);
}

std::uint64_t read_fixed64(byte_reader& reader) {
    return read_fixed<std::uint64_t>(reader);
}

std::uint32_t read_fixed32(byte_reader& reader) {
    return read_fixed<std::uint32_t>(reader);
}

std::string_view read_text(byte_reader& reader) {
    const auto size = read_varint(reader);
    if (size > reader.remaining.size()) {
        invalidate(reader);
        return {};
    }
    const auto text = reader.remaining.substr(0, size);
    reader.remaining.remove_prefix(size);
    return text;
}

std::size_t read_count(byte_reader& reader, std::size_t min_entry_bytes) {
    const auto count = read_varint(reader);
    if (count > reader.remaining.size() / min_entry_bytes) {
        invalidate(reader);
        return 0;
    }
    return count;
}

bool is_complete(const byte_reader& reader) {
    return reader.is_valid && reader.remaining.empty();
}

} // namespace figspoke::core
