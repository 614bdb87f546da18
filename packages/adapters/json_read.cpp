#include "adapters/json_read.h"

#include <algorithm>
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

// Returns the number of arrays and objects that are open at once, at most one more than `limit`.
std::size_t nesting_of(const std::string& text, std::size_t limit) {
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size() && deepest <= limit; ++i) {
        const char c = text[i];
        if (quoted && c == '\\') {
            ++i;
        } else if (c == '"') {
            quoted = !quoted;
        } else if (!quoted && (c == '[' || c == '{')) {
            deepest = std::max(deepest, ++depth);
        } else if (!quoted && (c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

[[noreturn]] void reject(const char* field, const std::string& accepted) {
    throw std::invalid_argument(std::string("field \"") + field + "\" is not " + accepted);
}

} // namespace

// The check comes before the parser, whose values take many times the memory of a text of brackets.
json parse_bounded(const std::string& text, const json_bounds& bounds) {
    if (text.size() > bounds.bytes || nesting_of(text, bounds.depth) > bounds.depth) {
        return json(json::value_t::discarded);
    }
    return json::parse(text, nullptr, false);
}

std::optional<std::int64_t> find_number(const json& object, const char* field, std::int64_t most) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > std::uint64_t(most)) {
        return std::nullopt;
    }
    return found->get<std::int64_t>();
}

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
