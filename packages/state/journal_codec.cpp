#include "state/journal_codec.h"

#include <stdexcept>
#include <utility>

namespace figspoke::state {

using nlohmann::json;

std::string text_of_bytes(std::string_view bytes) {
    // nlohmann::json refuses to write text that is not valid UTF-8, and the body of an upstream may hold any
    // bytes.
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

std::string bytes_of_text(const std::string& text) {
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < 0x80U) {
            bytes.push_back(text[i]);
            continue;
        }
        if ((lead != 0xc2U && lead != 0xc3U) || i + 1 == text.size()) {
            throw std::invalid_argument("holds a code point above 255");
        }
        const auto low = static_cast<unsigned char>(text[++i]);
        bytes.push_back(static_cast<char>((lead << 6U) | (low & 0x3fU)));
    }
    return bytes;
}

void refuse_field(const std::string& path, const std::string& problem) {
    throw std::invalid_argument("field \"" + path + "\" " + problem);
}

array_reader read_array(const json& source, std::string path) {
    if (!source.is_array()) {
        refuse_field(path, "is not an array");
    }
    return {&source, std::move(path), 0};
}

const json& read_item(array_reader& reader, const char* field) {
    if (reader.next >= reader.source->size()) {
        refuse_field(reader.path + "." + field, "is missing");
    }
    return (*reader.source)[reader.next++];
}

std::string read_text(array_reader& reader, const char* field) {
    const json& value = read_item(reader, field);
    if (!value.is_string()) {
        refuse_field(reader.path + "." + field, "is not a string");
    }
    try {
        return bytes_of_text(value.get_ref<const std::string&>());
    } catch (const std::invalid_argument& failure) {
        refuse_field(reader.path + "." + field, failure.what());
    }
}

std::int64_t read_integer(array_reader& reader, const char* field) {
    const json& value = read_item(reader, field);
    if (!value.is_number_integer()) {
        refuse_field(reader.path + "." + field, "is not an integer");
    }
    return value.get<std::int64_t>();
}

std::uint64_t read_natural(array_reader& reader, const char* field) {
    const json& value = read_item(reader, field);
    if (!value.is_number_unsigned()) {
        refuse_field(reader.path + "." + field, "is not a non-negative integer");
    }
    return value.get<std::uint64_t>();
}

bool read_flag(array_reader& reader, const char* field) {
    const std::uint64_t value = read_natural(reader, field);
    if (value > 1) {
        refuse_field(reader.path + "." + field, "is not 0 or 1");
    }
    return value == 1;
}

json encode_charge(const charge& value) {
    return json::array({text_of_bytes(value.id), text_of_bytes(value.account), text_of_bytes(value.key_id),
                        text_of_bytes(value.version), value.prompt_tokens, value.generated_tokens,
                        value.micros, value.internal_micros, text_of_bytes(value.writer), value.sequence,
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
    decoded.sequence = read_natural(reader, "sequence");
    decoded.cancelled = read_flag(reader, "cancelled");
    return decoded;
}

} // namespace figspoke::state
