#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `table rm KIND/NAME`: removes a row.
outcome table_rm(const options& flags, const words& given);

} // namespace figspoke::cli
