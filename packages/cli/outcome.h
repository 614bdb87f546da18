#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace figspoke::cli {

/// The exit codes of `figspoke`; docs/operators.md and `--help` list them.
enum class exit_code {
    done = 0,
    /// A flag, word, file or row is not accepted; nothing was changed.
    usage = 1,
    /// A service could not be reached; nothing was changed.
    unavailable = 2,
    /// Somebody else changed the row meanwhile; nothing was changed.
    conflict = 3,
    /// The change is stored or begun, and not in effect everywhere within `--wait_ms`.
    pending = 4,
    /// No clear answer came: the change may or may not be stored.
    unclear = 5,
    /// `table diff` found differences.
    differs = 6,
    /// The row does not exist, a service refused the request, or a node did not end gracefully.
    refused = 7,
    /// The change was stored, and the key-value service lost it before it was in effect.
    lost = 8,
};

/// What a command ends with: text for people and the same facts for programs.
struct outcome {
    exit_code code = exit_code::done;
    std::string text;
    nlohmann::json data = nlohmann::json::object();
};

/// Builds the outcome of a failed command.
outcome failed(exit_code code, const std::string& message);

/// Builds the outcome of an error, with the exit code of its kind.
outcome failed(const core::error& error);

/// Returns what is printed: the text, or the data with `exit_code` as one line of JSON.
std::string render_outcome(const outcome& value, bool as_json);

} // namespace figspoke::cli
