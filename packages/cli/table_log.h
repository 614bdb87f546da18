#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `table log [KIND/NAME]`: shows the last changes, oldest first.
outcome table_log(const options& flags, const words& given);

} // namespace figspoke::cli
