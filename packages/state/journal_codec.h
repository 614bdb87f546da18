#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "state/charge.h"

namespace figspoke::state {

/// Converts bytes, read as Latin-1, to UTF-8, so that any bytes can be stored as JSON text. ASCII is
/// unchanged.
std::string latin1_to_utf8(std::string_view bytes);

/// Reverses `latin1_to_utf8`; throws `std::invalid_argument` if the text contains a code point above 255.
std::string utf8_to_latin1(const std::string& text);

/// Encodes a charge as a JSON array.
nlohmann::json encode_charge(const charge& value);

/// Decodes a charge; throws `std::invalid_argument` that names the invalid field, prefixed with `path`.
charge decode_charge(const nlohmann::json& value, const std::string& path);

/// Position in a JSON array whose items are read in order. A failed read throws `std::invalid_argument` that
/// names the field, prefixed with `path`.
struct array_reader {
    const nlohmann::json* source = nullptr;
    std::string path;
    std::size_t position = 0;
};

/// Starts reading a JSON array; throws if the value is not an array.
array_reader read_array(const nlohmann::json& source, std::string path);

const nlohmann::json& read_item(array_reader& reader, const char* field);
std::string read_text(array_reader& reader, const char* field);
std::int64_t read_integer(array_reader& reader, const char* field);
std::uint64_t read_unsigned(array_reader& reader, const char* field);
/// Reads a Boolean that is encoded as 0 or 1.
bool read_flag(array_reader& reader, const char* field);

/// Throws `std::invalid_argument` with the text `field "<path>" <problem>`.
[[noreturn]] void throw_field_error(const std::string& path, const std::string& problem);

} // namespace figspoke::state
