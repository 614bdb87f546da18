#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "state/charge.h"

namespace figspoke::state {

/// Returns the bytes as valid UTF-8 text: each byte becomes the code point of the same number. ASCII is
/// unchanged.
std::string text_of_bytes(std::string_view bytes);

/// Reverses `text_of_bytes`; throws `std::invalid_argument` where the text did not come from it.
std::string bytes_of_text(const std::string& text);

/// Encodes a charge as a JSON array.
nlohmann::json encode_charge(const charge& value);

/// Decodes a charge; throws `std::invalid_argument` that names the field after `path`.
charge decode_charge(const nlohmann::json& value, const std::string& path);

/// Reads the items of a JSON array in order. Every read throws `std::invalid_argument` that names the field
/// after the path.
struct array_reader {
    const nlohmann::json* source = nullptr;
    std::string path;
    std::size_t next = 0;
};

/// Starts to read a JSON array; throws where the value is not one.
array_reader read_array(const nlohmann::json& source, std::string path);

const nlohmann::json& read_item(array_reader& reader, const char* field);
std::string read_text(array_reader& reader, const char* field);
std::int64_t read_integer(array_reader& reader, const char* field);
std::uint64_t read_natural(array_reader& reader, const char* field);
/// Reads 0 or 1.
bool read_flag(array_reader& reader, const char* field);

/// Throws `std::invalid_argument` with the text `field "<path>" <problem>`.
[[noreturn]] void refuse_field(const std::string& path, const std::string& problem);

} // namespace figspoke::state
