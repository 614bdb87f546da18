#pragma once

#include <nlohmann/json.hpp>

#include "core/table.h"

namespace figspoke::cli {

/// Lists the rows that differ: `row`, `change` (`added`, `changed`, `removed`) and for each column that
/// differs its value `before` and `after`. Row revisions are left out.
nlohmann::json list_changes(const core::table& before, const core::table& after);

/// Renders a list of changes with one line a column: `+` added, `-` removed, `~` changed.
std::string render_changes(const nlohmann::json& changes);

} // namespace figspoke::cli
