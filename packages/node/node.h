#pragma once

#include "core/settings.h"

namespace figspoke::node {

/// Runs a node until it is told to stop (SIGTERM, SIGINT or `POST /admin/drain`) and everything that it had
/// accepted is finished. Returns the process's exit code. Throws `std::runtime_error` where a secret can't be
/// read or an address can't be bound.
int run_node(const core::settings& settings);

} // namespace figspoke::node
