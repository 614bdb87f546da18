#include "cli/table_changes.h"

#include <set>

#include "cli/row_words.h"

namespace figspoke::cli {
namespace {

using nlohmann::json;
using column_values = std::map<std::string, std::string>;

const column_values no_columns;

std::string value_in(const column_values& columns, const std::string& name) {
    const auto found = columns.find(name);
    return found == columns.end() ? "" : found->second;
}

json list_columns(const column_values& before, const column_values& after) {
    std::set<std::string> names;
    for (const auto* side : {&before, &after}) {
        for (const auto& [name, value] : *side) {
            names.insert(name);
        }
    }
    json differing = json::array();
    for (const auto& name : names) {
        const auto old_value = value_in(before, name);
        const auto new_value = value_in(after, name);
        if (old_value != new_value) {
            differing.push_back({{"column", name}, {"before", old_value}, {"after", new_value}});
        }
    }
    return differing;
}

void add_change(json& changes, const core::row_key& key, const core::row* before, const core::row* after) {
    auto columns = list_columns(before == nullptr ? no_columns : before->columns,
                                after == nullptr ? no_columns : after->columns);
    if (before != nullptr && after != nullptr && columns.empty()) {
        return;
    }
    const char* change = before == nullptr ? "added" : after == nullptr ? "removed" : "changed";
    changes.push_back({{"row", to_string(key)}, {"change", change}, {"columns", std::move(columns)}});
}

std::string render_columns(const json& columns) {
    std::string text;
    for (const auto& column : columns) {
        text += "    " + column["column"].get<std::string>() + ": \"" + column["before"].get<std::string>() +
                "\" -> \"" + column["after"].get<std::string>() + "\"\n";
    }
    return text;
}

} // namespace

json list_changes(const core::table& before, const core::table& after) {
    json changes = json::array();
    for (const auto& [key, row] : before.rows) {
        const auto found = after.rows.find(key);
        add_change(changes, key, &row, found == after.rows.end() ? nullptr : &found->second);
    }
    for (const auto& [key, row] : after.rows) {
        if (before.rows.count(key) == 0) {
            add_change(changes, key, nullptr, &row);
        }
    }
    return changes;
}

std::string render_changes(const json& changes) {
    std::string text;
    for (const auto& change : changes) {
        const auto kind = change["change"].get<std::string>();
        const char* sign = kind == "added" ? "+ " : kind == "removed" ? "- " : "~ ";
        text += sign + change["row"].get<std::string>() + "\n";
        if (kind != "removed") {
            text += render_columns(change["columns"]);
        }
    }
    return text;
}

} // namespace figspoke::cli
