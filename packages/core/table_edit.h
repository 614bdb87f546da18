#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/table.h"

namespace figspoke::core {

/// One change of one row.
struct row_edit {
    row_key key;
    /// The row's revision that the operator saw; 0 for a row that must not exist yet.
    std::uint64_t seen_revision = 0;
    /// The row's new columns, whole; empty removes the row.
    std::optional<std::map<std::string, std::string>> columns;
};

/// Who makes an edit. `edit_id` is unique, so that a writer whose reply was lost finds its edit in the log.
struct edit_origin {
    std::string author;
    std::string edit_id;
};

/// Applies all edits or none and raises the table's revision. Fails with `conflict` where a row changed since
/// the operator saw it (telling by whom and what it is now), and with `bad_request` where a row breaks its
/// schema. Edits that change nothing leave the revision as it is.
result<table> apply_edits(const table& current, const std::vector<row_edit>& edits,
                          const edit_origin& origin);

/// Tells whether the table's log holds the edit.
bool has_edit(const table& value, const std::string& edit_id);

} // namespace figspoke::core
