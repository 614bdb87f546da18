#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/table.h"

namespace figspoke::core {

/// How a column's text is read.
enum class column_type { text, integer, number, choice, list };

/// One column of a row kind: its type, range and default.
struct column_spec {
    std::string_view name;
    column_type type = column_type::text;
    /// Inclusive range of `integer` and `number` columns.
    double min = 0;
    double max = 0;
    /// Accepted values of a `choice` column.
    std::vector<std::string_view> choices;
    bool required = false;
    /// The value that an absent or empty column stands for.
    std::string_view fallback;
};

/// The columns of one row kind.
struct row_schema {
    std::string_view kind;
    std::vector<column_spec> columns;
};

/// Returns the schemas of all row kinds.
const std::vector<row_schema>& row_schemas();

/// Checks a row against its schema. The `bad_request` error names row, column, value and what is accepted.
result<void> check_row(const row& value);

/// Returns a column's value, or its schema default where the column is absent or empty.
std::string column_or_default(const row& value, std::string_view column);

/// Splits a `list` column at semicolons, without empty items.
std::vector<std::string> split_list(std::string_view text, char separator = ';');

} // namespace figspoke::core
