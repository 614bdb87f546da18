#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `table import FILE`: stores the rows of a CSV file, all or none.
outcome table_import(const options& flags, const words& given);

} // namespace figspoke::cli
