#pragma once

namespace figspoke::cli {

/// Returns what `figspoke --help` prints.
const char* help_text();

} // namespace figspoke::cli
