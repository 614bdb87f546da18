#include "core/section_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace figspoke::core {
namespace {

std::string render(const toml::node& node) {
    std::ostringstream out;
    if (const auto* text = node.as_string()) {
        return "\"" + text->get() + "\"";
    }
    node.visit([&](const auto& value) {
        if constexpr (toml::is_value<decltype(value)>) {
            out << value;
        } else {
            out << "a table or array";
        }
    });
    return out.str();
}

std::optional<error> find_unknown_section(const toml::table& root, const std::set<std::string>& known) {
    for (const auto& [key, value] : root) {
        const std::string name(key.str());
        if (known.count(name) == 0) {
            return error{error_kind::bad_request, "settings section [" + name + "] does not exist",
                         std::nullopt};
        }
    }
    return std::nullopt;
}

} // namespace

section_reader::section_reader(const toml::table& root, std::string section,
                               std::optional<error>& first_error)
    : section_(std::move(section)), table_(root[section_].as_table()), first_error_(first_error) {}

section_reader::~section_reader() {
    report_unknown_keys();
}

void section_reader::text(const std::string& key, std::string& into) {
    const auto* node = find(key);
    if (node == nullptr) {
        return;
    }
    if (const auto* value = node->as_string()) {
        into = value->get();
    } else {
        refuse(key, render(*node), "text in quotes");
    }
}

void section_reader::required_text(const std::string& key, std::string& into) {
    text(key, into);
    if (into.empty()) {
        refuse(key, "\"\"", "a text that is not empty");
    }
}

void section_reader::integer(const std::string& key, std::int64_t min, std::int64_t max, std::int64_t& into) {
    const auto* node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto* value = node->as_integer();
    if (value == nullptr || value->get() < min || value->get() > max) {
        refuse(key, render(*node),
               "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    into = value->get();
}

void section_reader::choice(const std::string& key, const std::vector<std::string>& choices,
                            std::string& into) {
    text(key, into);
    if (std::find(choices.begin(), choices.end(), into) == choices.end()) {
        std::string names;
        for (const auto& name : choices) {
            names += (names.empty() ? "" : ", ") + name;
        }
        refuse(key, "\"" + into + "\"", "one of " + names);
    }
}

void section_reader::flag(const std::string& key, bool& into) {
    const auto* node = find(key);
    if (node == nullptr) {
        return;
    }
    if (const auto* value = node->as_boolean()) {
        into = value->get();
    } else {
        refuse(key, render(*node), "true or false");
    }
}

void section_reader::texts(const std::string& key, std::vector<std::string>& into) {
    const auto* node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto* values = node->as_array();
    if (values == nullptr || !values->is_homogeneous<std::string>()) {
        if (values == nullptr || !values->empty()) {
            refuse(key, render(*node), "an array of texts");
        }
        return;
    }
    for (const auto& value : *values) {
        into.push_back(value.as_string()->get());
    }
}

const toml::node* section_reader::find(const std::string& key) {
    known_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
}

void section_reader::refuse(const std::string& key, const std::string& value, const std::string& accepted) {
    if (!first_error_) {
        first_error_ =
            error{error_kind::bad_request,
                  "setting " + section_ + "." + key + " has the value " + value + "; accepted is " + accepted,
                  std::nullopt};
    }
}

void section_reader::report_unknown_keys() {
    if (table_ == nullptr || first_error_) {
        return;
    }
    for (const auto& [key, value] : *table_) {
        const std::string name(key.str());
        if (known_.count(name) == 0) {
            first_error_ = error{error_kind::bad_request,
                                 "setting " + section_ + "." + name + " does not exist", std::nullopt};
            return;
        }
    }
}

void section_reader::number(const std::string& key, double min, double max, double& into) {
    const auto* node = find(key);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value<double>();
    if (!value || *value < min || *value > max) {
        refuse(key, render(*node), "a number from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    into = *value;
}

result<void> parse_sections(std::string_view text, const std::set<std::string>& known,
                            const std::function<void(const toml::table&, std::optional<error>&)>& read) {
    std::optional<error> first;
    try {
        const toml::table root = toml::parse(text);
        first = find_unknown_section(root, known);
        read(root, first);
    } catch (const toml::parse_error& failure) {
        return fail(error_kind::bad_request, "settings line " + std::to_string(failure.source().begin.line) +
                                                 ": " + std::string(failure.description()));
    }
    if (first) {
        return tl::make_unexpected(*first);
    }
    return {};
}

result<std::string> read_settings_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return fail(error_kind::not_found, "settings file \"" + path + "\" can't be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace figspoke::core
