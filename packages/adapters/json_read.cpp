#include "adapters/json_read.h"

#include <stdexcept>

namespace figspoke::adapters {
namespace {

using nlohmann::json;

const json& field_of(const json& object, const char* field) {
    if (!object.is_object()) {
        throw std::invalid_argument("an entry is not a JSON object");
    }
    const auto found = object.find(field);
    if (found == object.end()) {
        throw std::invalid_argument(std::string("field \"") + field + "\" is absent");
    }
    return *found;
}

[[noreturn]] void reject(const char* field, const std::string& accepted) {
    throw std::invalid_argument(std::string("field \"") + field + "\" is not " + accepted);
}

} // namespace

json parse_object(const std::string& text) {
    json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        throw std::invalid_argument("body is not a JSON object");
    }
    return parsed;
}

std::string read_text(const json& object, const char* field) {
    const auto& value = field_of(object, field);
    if (!value.is_string()) {
        reject(field, "a text");
    }
    return value.get<std::string>();
}

std::uint64_t read_number(const json& object, const char* field, std::uint64_t most) {
    const auto& value = field_of(object, field);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most) {
        reject(field, "a whole number from 0 to " + std::to_string(most));
    }
    return value.get<std::uint64_t>();
}

bool read_flag(const json& object, const char* field) {
    const auto& value = field_of(object, field);
    if (!value.is_boolean()) {
        reject(field, "true or false");
    }
    return value.get<bool>();
}

const json& read_array(const json& object, const char* field) {
    const auto& value = field_of(object, field);
    if (!value.is_array()) {
        reject(field, "an array");
    }
    return value;
}

std::vector<std::string> read_texts(const json& object, const char* field) {
    std::vector<std::string> texts;
    for (const auto& item : read_array(object, field)) {
        if (!item.is_string()) {
            reject(field, "an array of texts");
        }
        texts.push_back(item.get<std::string>());
    }
    return texts;
}

} // namespace figspoke::adapters
