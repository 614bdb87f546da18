#include "core/table_edit.h"

#include <algorithm>

#include "core/schema.h"

namespace figspoke::core {
namespace {

std::string describe_columns(const std::map<std::string, std::string>& columns) {
    std::string text;
    for (const auto& [name, value] : columns) {
        if (!value.empty()) {
            text += text.empty() ? "" : ", ";
            text += name;
            text += "=";
            text += value;
        }
    }
    return text;
}

std::string last_author(const table& value, const row_key& key) {
    const auto found = std::find_if(value.log.rbegin(), value.log.rend(),
                                    [&](const table_change& change) { return change.key == key; });
    return found == value.log.rend() ? "somebody" : found->author;
}

tl::unexpected<error> conflict(const table& current, const row_edit& edit, const row* row_now) {
    const std::string name = "row " + edit.key.kind + "/" + edit.key.name;
    if (row_now == nullptr) {
        return fail(error_kind::conflict, name + " was removed by " + last_author(current, edit.key));
    }
    return fail(error_kind::conflict, name + " was changed by " + last_author(current, edit.key) +
                                          " at revision " + std::to_string(row_now->revision) +
                                          "; it is now: " + describe_columns(row_now->columns));
}

std::map<std::string, std::string> without_empty(const std::map<std::string, std::string>& columns) {
    std::map<std::string, std::string> kept;
    for (const auto& [name, value] : columns) {
        if (!value.empty()) {
            kept.emplace(name, value);
        }
    }
    return kept;
}

void log_change(table& into, const row_key& key, const char* action, const edit_origin& origin) {
    into.log.push_back({into.revision, key, action, origin.author, origin.edit_id});
    if (into.log.size() > max_table_log) {
        into.log.erase(into.log.begin(), into.log.end() - max_table_log);
    }
}

result<bool> apply_edit(table& into, const row_edit& edit, const edit_origin& origin) {
    const auto found = into.rows.find(edit.key);
    const row* row_now = found == into.rows.end() ? nullptr : &found->second;
    const bool same =
        row_now != nullptr && edit.columns && without_empty(row_now->columns) == without_empty(*edit.columns);
    if (same || (row_now == nullptr && !edit.columns)) {
        return false;
    }
    if ((row_now == nullptr ? 0 : row_now->revision) != edit.seen_revision) {
        return conflict(into, edit, row_now);
    }
    if (!edit.columns) {
        into.rows.erase(edit.key);
        log_change(into, edit.key, "rm", origin);
        return true;
    }
    const row changed{edit.key, into.revision, without_empty(*edit.columns)};
    if (auto checked = check_row(changed); !checked) {
        return tl::make_unexpected(checked.error());
    }
    into.rows.insert_or_assign(edit.key, changed);
    log_change(into, edit.key, "set", origin);
    return true;
}

} // namespace

result<table> apply_edits(const table& current, const std::vector<row_edit>& edits,
                          const edit_origin& origin) {
    table next = current;
    ++next.revision;
    bool changed = false;
    for (const auto& edit : edits) {
        const auto applied = apply_edit(next, edit, origin);
        if (!applied) {
            return tl::make_unexpected(applied.error());
        }
        changed = changed || *applied;
    }
    return changed ? next : current;
}

bool has_edit(const table& value, const std::string& edit_id) {
    return std::any_of(value.log.begin(), value.log.end(),
                       [&](const table_change& change) { return change.edit_id == edit_id; });
}

} // namespace figspoke::core
