#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace figspoke::adapters {

// These functions read answers of other processes. They throw `std::invalid_argument` that names the field
// where it is absent, has another type or is out of range.

/// Returns a field's value, or the fallback where the object lacks it or it has another type. Doesn't throw.
template <class T>
T value_or(const nlohmann::json& object, const char* field, const T& fallback) {
    if (!object.is_object()) {
        return fallback;
    }
    const auto found = object.find(field);
    if (found == object.end()) {
        return fallback;
    }
    try {
        return found->template get<T>();
    } catch (const nlohmann::json::exception&) {
        return fallback;
    }
}

/// Bounds of a JSON text of a writer that is not trusted.
struct json_bounds {
    std::size_t bytes = 64U * 1024;
    std::size_t depth = 16;
};

/// Parses a JSON text within the bounds. The value is discarded where the text isn't valid or exceeds them.
/// Doesn't throw.
nlohmann::json parse_bounded(const std::string& text, const json_bounds& bounds);

/// Returns a whole number from 0 to `most`, or nothing where the object lacks the field or holds another
/// value. Doesn't throw.
std::optional<std::int64_t> find_number(const nlohmann::json& object, const char* field, std::int64_t most);

/// Parses a text as a JSON object.
nlohmann::json parse_object(const std::string& text);

/// Reads a text.
std::string read_text(const nlohmann::json& object, const char* field);

/// Reads a whole number from 0 to `most`.
std::uint64_t read_number(const nlohmann::json& object, const char* field, std::uint64_t most);

/// Reads a boolean.
bool read_flag(const nlohmann::json& object, const char* field);

/// Reads an array.
const nlohmann::json& read_array(const nlohmann::json& object, const char* field);

/// Reads an array of texts.
std::vector<std::string> read_texts(const nlohmann::json& object, const char* field);

} // namespace figspoke::adapters
