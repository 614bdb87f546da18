#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `table set KIND/NAME COLUMN=VALUE...`: adds a row or changes the given columns; an empty value clears one.
outcome table_set(const options& flags, const words& given);

} // namespace figspoke::cli
