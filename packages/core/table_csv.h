#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/table.h"
#include "core/table_edit.h"

namespace figspoke::core {

/// Renders the table for a spreadsheet: one line a row with `kind`, `name`, `revision` and all columns.
std::string render_table_csv(const table& value);

/// Reads a table that went through a spreadsheet as edits: a row with its revision replaces the row of that
/// revision, one without is new. Fails with `bad_request`, naming line and column.
result<std::vector<row_edit>> parse_table_csv(std::string_view text);

} // namespace figspoke::core
