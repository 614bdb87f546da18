#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "cli/options.h"
#include "core/error.h"
#include "core/table_commit.h"

namespace figspoke::cli {

/// An edit that is stored, or changed nothing.
struct stored_edit {
    core::table_commit commit;
    /// The newest edit of the stored table, which a node that has the table in force names in its log. Empty
    /// for a table without edits.
    std::string newest_edit_id;
    /// When the first write was sent; the edit is not older.
    std::chrono::steady_clock::time_point write_sent;
    /// When it was known to be stored; the edit is not younger.
    std::chrono::steady_clock::time_point known_at;
};

/// Stores all edits or none by compare-and-swap, repeating after conflicts that touch other rows and after
/// unclear answers, for at most the options' waiting time. Fails with the kinds
/// of `on_table_read` and `write_table`; `outcome_unknown` tells that the edit may or may not be stored.
core::result<stored_edit> store_edits(const options& flags, std::vector<core::row_edit> edits);

} // namespace figspoke::cli
