#include "cli/table_import.h"

#include <algorithm>
#include <set>

#include "cli/finish_edit.h"
#include "cli/kv_table.h"
#include "cli/read_edits_file.h"
#include "cli/row_words.h"
#include "cli/table_changes.h"

namespace figspoke::cli {
namespace {

using core::row_edit;

std::uint64_t newest_revision(const std::vector<row_edit>& edits) {
    std::uint64_t newest = 0;
    for (const auto& edit : edits) {
        newest = std::max(newest, edit.seen_revision);
    }
    return newest;
}

// A row above the file's newest revision was written after the export as far as the file can tell, so its
// absence from the file doesn't mean that the operator wanted it gone.
core::result<void> add_removals(std::vector<row_edit>& edits, const core::table& current) {
    const auto newest = newest_revision(edits);
    std::set<core::row_key> kept;
    for (const auto& edit : edits) {
        kept.insert(edit.key);
    }
    for (const auto& [key, row] : current.rows) {
        if (kept.count(key) > 0) {
            continue;
        }
        if (row.revision > newest) {
            return core::fail(core::error_kind::conflict,
                              "row " + to_string(key) +
                                  " is missing from the file and was changed at revision " +
                                  std::to_string(row.revision) + ", after the file's newest row (revision " +
                                  std::to_string(newest) + "); remove it with `figspoke table rm " +
                                  to_string(key) + "` or export again");
        }
        edits.push_back({key, row.revision, std::nullopt});
    }
    return {};
}

} // namespace

outcome table_import(const options& flags, const words& given) {
    if (given.size() != 1) {
        return failed(exit_code::usage,
                      "table import needs one file, such as `figspoke table import rows.csv`");
    }
    auto edits = read_edits_file(given[0]);
    if (!edits) {
        return failed(edits.error());
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    if (flags.remove_missing) {
        if (auto added = add_removals(*edits, stored->table); !added) {
            return failed(added.error());
        }
    }
    const auto next = core::apply_edits(stored->table, *edits, {flags.author, "preview"});
    if (!next) {
        return failed(next.error());
    }
    const auto changes = list_changes(stored->table, *next);
    outcome told;
    if (flags.dry_run) {
        told.text = changes.empty() ? "nothing would change\n" : "nothing is stored; this would change:\n";
    } else {
        told = finish_edit(flags, std::move(*edits));
    }
    const bool is_listed = flags.dry_run || told.code == exit_code::done || told.code == exit_code::pending;
    if (is_listed) {
        told.text += render_changes(changes);
        told.data["changes"] = changes;
    }
    return told;
}

} // namespace figspoke::cli
