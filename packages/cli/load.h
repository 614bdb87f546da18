#pragma once

#include "cli/load_plan.h"
#include "cli/outcome.h"

namespace figspoke::cli {

/// Reads API keys, one a line, without blank lines. The `bad_request` error names the file.
core::result<std::vector<std::string>> read_keys(const std::string& path);

/// Sends the planned requests at their times, whether or not earlier ones were answered, and reports. A
/// request that would need more connections than allowed is not sent and counts as `connection_limit`.
outcome run_load(const load_options& options);

} // namespace figspoke::cli
