#pragma once

#include <vector>

#include "cli/options.h"
#include "cli/outcome.h"
#include "core/table_edit.h"

namespace figspoke::cli {

/// Stores the edits, waits until they are accepted and tells on how many nodes and after how long.
outcome finish_edit(const options& flags, std::vector<core::row_edit> edits);

/// Tells which flag an editing command lacks, or an empty text.
std::string missing_edit_flag(const options& flags);

} // namespace figspoke::cli
