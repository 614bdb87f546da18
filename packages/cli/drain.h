#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `drain`: stops a node gracefully and waits until it has ended.
outcome drain(const options& flags, const words& given);

} // namespace figspoke::cli
