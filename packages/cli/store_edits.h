#pragma once

#include <vector>

#include "cli/options.h"
#include "core/error.h"
#include "core/table_commit.h"

namespace figspoke::cli {

/// Stores all edits or none by compare-and-swap, repeating after conflicts that touch other rows and after
/// unclear answers, for at most the options' waiting time. Returns the finished commit. Fails with the kinds
/// of `on_table_read` and `write_table`; `outcome_unknown` tells that the edit may or may not be stored.
core::result<core::table_commit> store_edits(const options& flags, std::vector<core::row_edit> edits);

} // namespace figspoke::cli
