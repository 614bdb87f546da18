#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `table export`: prints the table as CSV.
outcome table_export(const options& flags, const words& given);

} // namespace figspoke::cli
