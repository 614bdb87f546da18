#include "state/journal_codec.h"

#include <stdexcept>
#include <utility>

namespace figspoke::state {

using nlohmann::json;

std::string latin1_to_utf8(std::string_view bytes) {
    // nlohmann::json rejects strings that are not valid UTF-8, and the body of an upstream's response may
    // contain any bytes.
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80U) {
            text.push_back(c);
        } else {
            text.push_back(static_cast<char>(0xc0U | (byte >> 6U)));
            text.push_back(static_cast<char>(0x80U | (byte & 0x3fU)));
        }
    }
    return text;
}

std::string utf8_to_latin1(const std::string& text) {
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < 0x80U) {
            bytes.push_back(text[i]);
            continue;
        }
        if ((lead != 0xc2U && lead != 0xc3U) || i + 1 == text.size()) {
            throw std::invalid_argument("contains a code point above 255");
        }
        const auto low = static_cast<unsigned char>(text[++i]);
        bytes.push_back(static_cast<char>((lead << 6U) | (low & 0x3fU)));
    }
    return bytes;
}

void throw_field_error(const std::string& path, const std::string& problem) {
    throw std::invalid_argument("field \"" + path + "\" " + problem);
}

array_reader read_array(const json& source, std::string path) {
    if (!source.is_array()) {
        throw_field_error(path, "is not an array");
    }
    return {&source, std::move(path), 0};
}

const json& read_item(array_reader& reader, const char* field) {
    if (reader.position >= reader.source->size()) {
        throw_field_error(reader.path + "." + field, "is missing");
    }
    return (*reader.source)[reader.position++];
}

std::string read_text(array_reader& reader, const char* field) {
    const json& value = read_item(reader, field);
    if (!value.is_string()) {
        throw_field_error(reader.path + "." + field, "is not a string");
    }
    try {
        return utf8_to_latin1(value.get_ref<const std::string&>());
    } catch (const std::invalid_argument& failure) {
        throw_field_error(reader.path + "." + field, failure.what());
    }
}

std::int64_t read_integer(array_reader& reader, const char* field) {
    const json& value = read_item(reader, field);
    if (!value.is_number_integer()) {
        throw_field_error(reader.path + "." + field, "is not an integer");
    }
    return value.get<std::int64_t>();
}

std::uint64_t read_unsigned(array_reader& reader, const char* field) {
    const json& value = read_item(reader, field);
    if (!value.is_number_unsigned()) {
        throw_field_error(reader.path + "." + field, "is not a non-negative integer");
    }
    return value.get<std::uint64_t>();
}

bool read_flag(array_reader& reader, const char* field) {
    const std::uint64_t value = read_unsigned(reader, field);
    if (value > 1) {
        throw_field_error(reader.path + "." + field, "is not 0 or 1");
    }
    return value == 1;
}

json encode_charge(const charge& value) {
    return json::array({latin1_to_utf8(value.id), latin1_to_utf8(value.account), latin1_to_utf8(value.key_id),
                        latin1_to_utf8(value.version), value.prompt_tokens, value.generated_tokens,
                        value.micros, value.internal_micros, latin1_to_utf8(value.writer), value.sequence,
                        value.cancelled ? 1U : 0U});
}

charge decode_charge(const json& value, const std::string& path) {
    auto reader = read_array(value, path);
    charge decoded;
    decoded.id = read_text(reader, "id");
    decoded.account = read_text(reader, "account");
    decoded.key_id = read_text(reader, "key_id");
    decoded.version = read_text(reader, "version");
    decoded.prompt_tokens = read_integer(reader, "prompt_tokens");
    decoded.generated_tokens = read_integer(reader, "generated_tokens");
    decoded.micros = read_integer(reader, "micros");
    decoded.internal_micros = read_integer(reader, "internal_micros");
    decoded.writer = read_text(reader, "writer");
    decoded.sequence = read_unsigned(reader, "sequence");
    decoded.cancelled = read_flag(reader, "cancelled");
    return decoded;
}

} // namespace figspoke::state
