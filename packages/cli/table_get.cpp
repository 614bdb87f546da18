#include "cli/table_get.h"

#include "cli/kv_table.h"
#include "cli/row_words.h"
#include "core/schema.h"

namespace figspoke::cli {
namespace {

nlohmann::json render_row(const core::row& row) {
    return {
        {"kind", row.key.kind}, {"name", row.key.name}, {"revision", row.revision}, {"columns", row.columns}};
}

std::string one_line(const core::row& row) {
    std::string text = to_string(row.key) + " revision=" + std::to_string(row.revision);
    for (const auto& [name, value] : row.columns) {
        text += " ";
        text += name;
        text += "=";
        text += value;
    }
    return text + "\n";
}

// Shows one row with the defaults that its empty columns stand for.
std::string in_full(const core::row& row) {
    std::string text = to_string(row.key) + ", last changed at revision " + std::to_string(row.revision);
    for (const auto& schema : core::row_schemas()) {
        if (schema.kind != row.key.kind) {
            continue;
        }
        for (const auto& column : schema.columns) {
            const std::string name(column.name);
            const bool is_set = row.columns.count(name) > 0;
            text += "\n  " + name + "=" + core::column_or_default(row, name) + (is_set ? "" : " (default)");
        }
    }
    return text + "\n";
}

outcome show_row(const core::table& table, const core::row_key& key) {
    const auto found = table.rows.find(key);
    if (found == table.rows.end()) {
        return failed(exit_code::refused, "row " + to_string(key) + " does not exist");
    }
    return {exit_code::done, in_full(found->second), render_row(found->second)};
}

outcome show_rows(const core::table& table, const std::string& kind) {
    outcome shown;
    shown.text = "revision " + std::to_string(table.revision) + "\n";
    shown.data = {{"revision", table.revision}, {"rows", nlohmann::json::array()}};
    for (const auto& [key, row] : table.rows) {
        if (kind.empty() || key.kind == kind) {
            shown.text += one_line(row);
            shown.data["rows"].push_back(render_row(row));
        }
    }
    return shown;
}

} // namespace

outcome table_get(const options& flags, const words& given) {
    if (given.size() > 1) {
        return failed(exit_code::usage, "\"" + given[1] + "\" is one word too many for table get");
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    if (given.empty() || given[0].find('/') == std::string::npos) {
        return show_rows(stored->table, given.empty() ? "" : given[0]);
    }
    const auto key = parse_row_key(given[0]);
    return key ? show_row(stored->table, *key) : failed(key.error());
}

} // namespace figspoke::cli
