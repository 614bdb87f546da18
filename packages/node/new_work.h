#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_types.h"
#include "core/config.h"
#include "core/error.h"
#include "node/caller.h"
#include "node/node_state.h"

namespace figspoke::node {

/// A caller whose request may run, and the configuration under which it was accepted.
struct accepted_caller {
    std::shared_ptr<const core::config_snapshot> config;
    node::caller caller;
};

/// Returns the error for new work while this node may not take any: no table, isolated or draining.
std::optional<core::error> refusal_of_new_work(node_state& node);

/// Reads the caller of a request that arrived at `now`. Fails with the error for the caller; nothing ran
/// then.
core::result<accepted_caller> accept_caller(node_state& node, const adapters::http_request& request,
                                            core::steady_time now);

/// Returns the addresses that a caller is to use instead where this node is being stopped.
std::vector<std::string> addresses_for(node_state& node, const core::error& cause);

} // namespace figspoke::node
