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

core::result<std::vector<row_edit>> read_import(const options& flags, const std::string& path,
                                                const core::table& current) {
    auto edits = read_edits_file(path);
    if (edits && flags.remove_missing) {
        if (auto added = add_removals(*edits, current); !added) {
            return tl::make_unexpected(added.error());
        }
    }
    return edits;
}

outcome store_import(const options& flags, std::vector<row_edit> edits, const nlohmann::json& changes) {
    outcome told;
    if (flags.dry_run) {
        told.text = changes.empty() ? "nothing would change\n" : "nothing is stored; this would change:\n";
    } else {
        told = finish_edit(flags, std::move(edits));
    }
    if (told.code == exit_code::done || told.code == exit_code::pending) {
        told.text += render_changes(changes);
        told.data["changes"] = changes;
    }
    return told;
}

} // namespace

outcome table_import(const options& flags, const words& given) {
    if (given.size() != 1) {
        return failed(exit_code::usage,
                      "table import needs one file, such as `figspoke table import rows.csv`");
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    auto edits = read_import(flags, given[0], stored->table);
    if (!edits) {
        return failed(edits.error());
    }
    const auto next = core::apply_edits(stored->table, *edits, {flags.author, "preview"});
    if (!next) {
        return failed(next.error());
    }
    return store_import(flags, std::move(*edits), list_changes(stored->table, *next));
}

} // namespace figspoke::cli
