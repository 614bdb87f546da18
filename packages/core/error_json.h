#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"

namespace figspoke::core {

/// Returns the time after which a caller may come back: that of the cause, or that of the table of errors.
std::optional<std::chrono::milliseconds> retry_time(const error& cause);

/// Renders an error as the JSON body that every caller gets. `addresses` name nodes to try instead.
std::string render_error(const error& cause, const std::vector<std::string>& addresses = {});

} // namespace figspoke::core
