#include "cli/table_diff.h"

#include "cli/kv_table.h"
#include "cli/read_edits_file.h"
#include "cli/row_words.h"
#include "cli/table_changes.h"

namespace figspoke::cli {
namespace {

core::table table_of(const std::vector<core::row_edit>& edits) {
    core::table table;
    for (const auto& edit : edits) {
        table.rows[edit.key] = core::row{edit.key, edit.seen_revision, *edit.columns};
    }
    return table;
}

// Rows whose revision moved on: importing the file would end with a conflict.
std::vector<std::string> list_outdated(const core::table& current, const core::table& file) {
    std::vector<std::string> outdated;
    for (const auto& [key, row] : file.rows) {
        const auto found = current.rows.find(key);
        const bool differs = found == current.rows.end() || found->second.columns != row.columns;
        const auto revision = found == current.rows.end() ? 0 : found->second.revision;
        if (differs && revision != row.revision) {
            outdated.push_back(to_string(key));
        }
    }
    return outdated;
}

} // namespace

outcome table_diff(const options& flags, const words& given) {
    if (given.size() != 1) {
        return failed(exit_code::usage, "table diff needs one file, such as `figspoke table diff rows.csv`");
    }
    const auto edits = read_edits_file(given[0]);
    if (!edits) {
        return failed(edits.error());
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    const auto file = table_of(*edits);
    const auto changes = list_changes(stored->table, file);
    const auto outdated = list_outdated(stored->table, file);
    outcome told;
    told.code = changes.empty() ? exit_code::done : exit_code::differs;
    told.text = changes.empty() ? "the file and the stored table are the same\n" : render_changes(changes);
    for (const auto& row : outdated) {
        told.text += "! " + row + " changed after the export; an import ends with a conflict\n";
    }
    told.data = {{"changes", changes}, {"changed_since_export", outdated}};
    return told;
}

} // namespace figspoke::cli
