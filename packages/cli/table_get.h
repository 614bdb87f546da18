#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `table get [KIND|KIND/NAME]`: shows all rows, those of a kind, or one row.
outcome table_get(const options& flags, const words& given);

} // namespace figspoke::cli
