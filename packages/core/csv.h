#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace figspoke::core {

/// The cells of a CSV text, line by line. A line without content has no cells, so that the position of each
/// line is the row number that a spreadsheet shows.
using csv_lines = std::vector<std::vector<std::string>>;

/// Parses CSV as spreadsheets write it: quoted cells, CR LF or LF, an optional byte order mark, comma or
/// semicolon or tab between cells (told from the first line). Fails with `bad_request`, naming the line.
result<csv_lines> parse_csv(std::string_view text);

/// Renders one CSV line with commas; cells are quoted where needed.
std::string render_csv_line(const std::vector<std::string>& cells);

} // namespace figspoke::core
