#pragma once

#include "cli/options.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// `status`: shows a node and what it knows of the other nodes.
outcome status(const options& flags, const words& given);

} // namespace figspoke::cli
