#include "core/schema.h"

#include <algorithm>
#include <cstdlib>

namespace figspoke::core {
namespace {

constexpr double max_rate = 1e9;
constexpr double max_money = 1e15;

column_spec text(std::string_view name, bool required = false) {
    return {name, column_type::text, 0, 0, {}, required, ""};
}

column_spec list(std::string_view name, bool required = false) {
    return {name, column_type::list, 0, 0, {}, required, ""};
}

column_spec number(std::string_view name, double min, double max, std::string_view fallback) {
    return {name, column_type::number, min, max, {}, false, fallback};
}

column_spec integer(std::string_view name, double min, double max, std::string_view fallback) {
    return {name, column_type::integer, min, max, {}, false, fallback};
}

column_spec choice(std::string_view name, std::vector<std::string_view> choices, std::string_view fallback) {
    return {name, column_type::choice, 0, 0, std::move(choices), false, fallback};
}

std::vector<row_schema> build_schemas() {
    return {
        {"account",
         {text("key_sha256", true), number("weight", 0.01, 1000, "1"),
          choice("max_priority", {"urgent", "normal", "batch"}, "normal"), number("quality", 0, 1, "0.8"),
          integer("tokens_per_s", 0, max_rate, "0"), integer("spend_micros_per_day", 0, max_money, "0"),
          list("allowed", true)}},
        {"version",
         {choice("state", {"active", "retiring", "withdrawn"}, "active"),
          number("rollout_percent", 0, 100, "100"), integer("price_in", 0, max_rate, "0"),
          integer("price_out", 0, max_rate, "0"), number("quality", 0, 1, "0.5"),
          number("tokens_per_s", 0.1, 100000, "40"), integer("first_token_ms", 1, 60000, "200")}},
        {"upstream",
         {text("address", true), text("failure_domain", true), list("versions"), list("services"),
          integer("slots", 1, 10000, "8"), choice("checks_fencing", {"yes", "no"}, "no")}},
        {"service",
         {choice("idempotent", {"yes", "no"}, "no"), integer("price", 0, max_rate, "0"),
          integer("timeout_ms", 1, 600000, "5000")}},
        {"priority",
         {integer("first_token_ms", 1, 600000, "2000"), number("floor", 0, 1, "0"),
          integer("queue_limit", 1, 100000, "200")}},
    };
}

const row_schema* find_schema(std::string_view kind) {
    for (const auto& schema : row_schemas()) {
        if (schema.kind == kind) {
            return &schema;
        }
    }
    return nullptr;
}

const column_spec* find_column(const row_schema& schema, std::string_view name) {
    for (const auto& column : schema.columns) {
        if (column.name == name) {
            return &column;
        }
    }
    return nullptr;
}

template <class Items, class Name>
std::string join_names(const Items& items, Name name) {
    std::string joined;
    for (const auto& item : items) {
        joined += (joined.empty() ? "" : ", ") + std::string(name(item));
    }
    return joined;
}

std::string trim_number(double value) {
    std::string text = std::to_string(static_cast<long long>(value));
    return static_cast<double>(static_cast<long long>(value)) == value ? text : std::to_string(value);
}

std::string describe_accepted(const column_spec& column) {
    switch (column.type) {
    case column_type::integer:
        return "a whole number from " + trim_number(column.min) + " to " + trim_number(column.max);
    case column_type::number:
        return "a number from " + trim_number(column.min) + " to " + trim_number(column.max);
    case column_type::choice:
        return "one of " + join_names(column.choices, [](std::string_view item) { return item; });
    case column_type::list:
        return "values separated by semicolons";
    case column_type::text:
        break;
    }
    return "text";
}

bool is_number_in_range(const column_spec& column, const std::string& value) {
    char* end = nullptr;
    const double parsed = std::strtod(value.c_str(), &end);
    const bool whole =
        column.type == column_type::number || value.find_first_not_of("-0123456789") == std::string::npos;
    return end != value.c_str() && *end == '\0' && whole && parsed >= column.min && parsed <= column.max;
}

bool is_accepted(const column_spec& column, const std::string& value) {
    if (value.empty()) {
        return !column.required;
    }
    switch (column.type) {
    case column_type::integer:
    case column_type::number:
        return is_number_in_range(column, value);
    case column_type::choice:
        return std::find(column.choices.begin(), column.choices.end(), value) != column.choices.end();
    case column_type::text:
    case column_type::list:
        break;
    }
    return true;
}

tl::unexpected<error> row_error(const row& value, const std::string& what) {
    return fail(error_kind::bad_request, "row " + value.key.kind + "/" + value.key.name + ": " + what);
}

std::string quoted(const std::string& text) {
    return "\"" + text + "\"";
}

result<void> check_known_columns(const row& value, const row_schema& schema) {
    for (const auto& [name, content] : value.columns) {
        if (!content.empty() && find_column(schema, name) == nullptr) {
            const auto names =
                join_names(schema.columns, [](const column_spec& column) { return column.name; });
            return row_error(value, "column " + quoted(name) + " does not exist; accepted are " + names);
        }
    }
    return {};
}

} // namespace

const std::vector<row_schema>& row_schemas() {
    static const std::vector<row_schema> schemas = build_schemas();
    return schemas;
}

result<void> check_row(const row& value) {
    const row_schema* schema = find_schema(value.key.kind);
    if (schema == nullptr) {
        const auto kinds = join_names(row_schemas(), [](const row_schema& item) { return item.kind; });
        return row_error(value, "kind " + quoted(value.key.kind) + " does not exist; accepted are " + kinds);
    }
    if (value.key.name.empty()) {
        return row_error(value, "column \"name\" is empty; accepted is text");
    }
    if (value.key.kind == "version" && value.key.name.find('@') == std::string::npos) {
        return row_error(value, "column \"name\" has the value " + quoted(value.key.name) +
                                    "; accepted is MODEL@VERSION");
    }
    if (auto known = check_known_columns(value, *schema); !known) {
        return known;
    }
    for (const auto& column : schema->columns) {
        const auto found = value.columns.find(std::string(column.name));
        const std::string content = found == value.columns.end() ? "" : found->second;
        if (!is_accepted(column, content)) {
            return row_error(value, "column " + quoted(std::string(column.name)) + " has the value " +
                                        quoted(content) + "; accepted is " + describe_accepted(column));
        }
    }
    return {};
}

std::string column_or_default(const row& value, std::string_view column) {
    const auto found = value.columns.find(std::string(column));
    if (found != value.columns.end() && !found->second.empty()) {
        return found->second;
    }
    const row_schema* schema = find_schema(value.key.kind);
    const column_spec* spec = schema == nullptr ? nullptr : find_column(*schema, column);
    return spec == nullptr ? "" : std::string(spec->fallback);
}

std::vector<std::string> split_list(std::string_view text, char separator) {
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto end = text.find(separator);
        const auto item = text.substr(0, end);
        if (!item.empty()) {
            items.emplace_back(item);
        }
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return items;
}

} // namespace figspoke::core
