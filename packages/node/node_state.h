#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http_client.h"
#include "adapters/kv_client.h"
#include "adapters/metrics.h"
#include "adapters/ports.h"
#include "core/hash.h"
#include "core/settings.h"
#include "core/time.h"
#include "node/admission_gate.h"
#include "node/charge_service.h"
#include "node/cluster.h"
#include "node/config_table.h"
#include "node/evidence_table.h"
#include "node/journal_service.h"
#include "node/rate_service.h"
#include "node/repeat_registry.h"
#include "node/upstream_table.h"

namespace figspoke::node {

/// Secrets, read from their files at start.
struct node_secrets {
    std::string token_key;
    std::string mesh_secret;
};

/// Everything that the parts of one node share. Each table has its own lock. The order in which they are
/// taken stands in docs/design.md, section 8; none is held across a suspension.
struct node_state {
    node_state(boost::asio::io_context& io, core::settings options, node_secrets keys)
        : context(io), settings(std::move(options)), secrets(std::move(keys)), client(io) {}

    boost::asio::io_context& context;
    const core::settings settings;
    const node_secrets secrets;
    /// `node id/run`; differs for each start of the node.
    std::string incarnation;
    /// `IP:port` that callers are told.
    std::string advertised_address;
    adapters::http_client client;
    adapters::kv_store kv;
    adapters::rating_service ratings;
    adapters::upstream_reports reports;
    adapters::metrics metrics;

    config_table config;
    cluster nodes;
    admission_gate admission;
    upstream_table upstreams;
    rate_service rates;
    journal_service journal;
    charge_service charges;
    repeat_registry repeats;
    evidence_table evidence;

    /// Set when the node is to stop: it refuses new work and finishes what runs.
    std::atomic<bool> draining{false};
    /// Set a few seconds after `draining`, when callers have stopped using this address.
    std::atomic<bool> refuses_new_work{false};
    /// Whether the admission queue has its capacity from a table. Until then it holds one request, and would
    /// refuse work for which the node has room.
    std::atomic<bool> admission_sized{false};
    /// Set when nothing runs any more and the node is about to end.
    std::atomic<bool> stopped{false};
};

} // namespace figspoke::node
