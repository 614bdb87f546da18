#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// Runs the command that the words name. The error of an unknown command names it.
outcome run_command(const options& flags, const words& given);

} // namespace figspoke::cli
