#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `table diff FILE`: shows how a CSV file differs from the stored table.
outcome table_diff(const options& flags, const words& given);

} // namespace figspoke::cli
