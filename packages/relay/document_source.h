#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>
#include <tl/expected.hpp>

#include "core/time.h"
#include "policy/rollout_orders.h"
#include "relay/crash_record.h"
#include "relay/rollout_state.h"
#include "state/route_table.h"
#include "state/shared_document.h"
#include "state/upstream_registry.h"

namespace figspoke::relay {

using policy::rollout_order;

/// The status of a roll-out in the store.
struct rollout_status {
    rollout_state state = rollout_state::in_progress;
    /// The order that the status belongs to.
    policy::status_order order;
    /// Time since the start of the roll-out, so that another node continues from there.
    core::milliseconds elapsed{0};
    /// Position of the status in the store; revision 0 if there is none.
    state::store_position revision;
};

enum class store_failure {
    /// The call had no effect.
    unavailable,
    /// The stored value has another revision than expected.
    conflict,
    /// The write may have taken effect, or may still do so.
    outcome_unknown
};

struct store_error {
    store_failure why = store_failure::unavailable;
    std::string message;
};

template <class T>
using store_result = tl::expected<T, store_error>;

/// Crashes in the store, and the position of its item; revision 0 if there is none.
struct stored_crashes {
    std::vector<crash_record> records;
    state::store_position revision;
};

/// What a node knows of the store, shared by the store's client and the node.
struct store_view {
    /// The highest position that an answer of the store or a peer has named.
    state::store_position known;
    /// How often the store was noticed to have come back from an older copy.
    std::uint64_t returns = 0;
    state::lower_statements lower;
    /// Answers whose statement of the era can't be used.
    std::uint64_t unusable_eras = 0;
    /// Answers that were older than what the node knew, and so were ignored.
    std::uint64_t outdated_answers = 0;
    /// Called after a return was noticed, with the position known before.
    std::function<void(const state::store_position& previous)> on_return;
};

/// Raises the known position, and calls `on_return` if the position shows that the store has come back.
void record_position(store_view& view, const state::store_position& seen);

/// Access to the platform: its store and the decoding of its documents.
struct platform_port {
    using yield_context = boost::asio::yield_context;

    std::shared_ptr<store_view> store = std::make_shared<store_view>();

    /// Read the two shared documents.
    std::function<store_result<state::document_content>(const yield_context&)> read_operator_config;
    std::function<store_result<state::document_content>(const yield_context&)> read_registry;

    /// Sets the versions of the items and the hash of an operator's configuration that a peer has sent.
    std::function<void(state::document_content&)> complete_operator_config;

    /// Translate documents. A part that can't be read is left out and named in the log.
    std::function<std::optional<state::route_table>(const state::document_content&)> decode_routes;
    std::function<std::vector<rollout_order>(const state::document_content&)> decode_rollouts;
    std::function<std::vector<state::upstream_entry>(const state::document_content&)> decode_upstreams;
    /// Returns the failure domains whose upstreams may get no new requests.
    std::function<std::set<std::string>(const state::document_content&)> decode_evacuations;

    /// Reads the status of a service's roll-out; the revision is 0 if there is none.
    std::function<store_result<rollout_status>(const std::string& service, const yield_context&)>
        read_rollout_status;
    /// Writes a status if the stored one still has the position that `status` was read at; returns the new
    /// one.
    std::function<store_result<state::store_position>(const std::string& service,
                                                      const rollout_status& status, const yield_context&)>
        write_rollout_status;

    /// Read and write the crashes for which requests are refused. A write fails if the stored ones have
    /// another position than those that were read.
    std::function<store_result<stored_crashes>(const yield_context&)> read_crashes;
    std::function<store_result<state::store_position>(const stored_crashes&, const yield_context&)>
        write_crashes;

    /// Lists the heartbeat addresses of registered nodes.
    std::function<store_result<std::vector<std::string>>(const yield_context&)> list_nodes;
    /// Registers a node's heartbeat address under its name.
    std::function<store_result<void>(const std::string& node, const std::string& address,
                                     const yield_context&)>
        register_node;
};

} // namespace figspoke::relay
