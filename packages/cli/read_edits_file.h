#pragma once

#include <string>
#include <vector>

#include "core/error.h"
#include "core/table_edit.h"

namespace figspoke::cli {

/// Reads a CSV file as edits. The `bad_request` error names the file and the place in it.
core::result<std::vector<core::row_edit>> read_edits_file(const std::string& path);

} // namespace figspoke::cli
