#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "cli/options.h"
#include "cli/store_edits.h"

namespace figspoke::cli {

/// How far a stored edit has come.
struct edit_progress {
    bool accepted = false;
    /// Whether the key-value service no longer holds the edit, which was not accepted.
    bool lost = false;
    std::vector<std::string> confirmed;
    std::vector<std::string> waiting_for;
    /// Time from the sending of the write to the last answer.
    std::chrono::milliseconds elapsed{0};
    /// Why the node could not be asked; empty where it answered.
    std::string failure;
};

/// Asks the options' node until the edit is accepted, for at most the options' waiting time. An edit that is
/// not accepted by then is looked for in the key-value service.
edit_progress await_edit(const options& flags, const stored_edit& edit);

} // namespace figspoke::cli
