#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>
#include <tl/expected.hpp>

#include "core/time.h"
#include "relay/rollout_state.h"
#include "state/route_table.h"
#include "state/shared_document.h"
#include "state/upstream_registry.h"

namespace figspoke::relay {

/// An operator's order to move a service to another version.
struct rollout_order {
    std::string service;
    std::string target;
    core::seconds duration{0};
    /// Revision of the order in the store: a later order for the same service has a higher one.
    std::uint64_t revision = 0;
};

/// What the store holds about a roll-out's progress.
struct rollout_status {
    rollout_state state = rollout_state::in_progress;
    std::string target;
    /// Order that the status belongs to.
    std::uint64_t order = 0;
    /// Time that drivers spent on it so far, so that a new driver goes on from there.
    core::milliseconds elapsed{0};
    /// Revision of the status in the store; 0 where there is none.
    std::uint64_t revision = 0;
};

enum class store_failure {
    /// Nothing was done.
    unavailable,
    /// The value changed meanwhile.
    conflict,
    /// A write may have taken effect, now or later.
    unclear
};

struct store_error {
    store_failure why = store_failure::unavailable;
    std::string message;
};

template <class T>
using store_result = tl::expected<T, store_error>;

/// The port to the platform: its store and what the documents mean.
struct platform_port {
    using yield_context = boost::asio::yield_context;

    /// Read the two shared documents.
    std::function<store_result<state::document_content>(const yield_context&)> read_operator_config;
    std::function<store_result<state::document_content>(const yield_context&)> read_registry;

    /// Translate documents. A part that can't be read is left out and named in the log.
    std::function<std::optional<state::route_table>(const state::document_content&)> decode_routes;
    std::function<std::vector<rollout_order>(const state::document_content&)> decode_rollouts;
    std::function<std::vector<state::upstream_entry>(const state::document_content&)> decode_upstreams;

    /// Progress of a service's roll-out; a status of revision 0 where there is none.
    std::function<store_result<rollout_status>(const std::string& service, const yield_context&)>
        read_rollout_status;
    /// Writes a status if the stored one still has the revision that `status` was read at; returns the new
    /// one.
    std::function<store_result<std::uint64_t>(const std::string& service, const rollout_status& status,
                                              const yield_context&)>
        write_rollout_status;

    /// Beat addresses of nodes that registered before.
    std::function<store_result<std::vector<std::string>>(const yield_context&)> list_nodes;
    /// Registers this node's beat address under its name.
    std::function<store_result<void>(const std::string& node, const std::string& address,
                                     const yield_context&)>
        register_node;
};

} // namespace figspoke::relay
