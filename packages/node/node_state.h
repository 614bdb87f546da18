#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/http_client.h"
#include "adapters/kv_client.h"
#include "adapters/metrics.h"
#include "core/settings.h"
#include "core/time.h"
#include "node/admission_gate.h"
#include "node/config_table.h"
#include "node/upstream_table.h"

namespace figspoke::node {

/// Secrets, read from their files at start.
struct node_secrets {
    std::string token_key;
    std::string mesh_secret;
};

/// Everything that the parts of one node share. Each table has its own lock; the order in which they are
/// taken is that of the members below, and none is held across a suspension.
struct node_state {
    node_state(boost::asio::io_context& io, core::settings options, node_secrets keys)
        : context(io), settings(std::move(options)), secrets(std::move(keys)), client(io) {}

    boost::asio::io_context& context;
    const core::settings settings;
    const node_secrets secrets;
    /// Differs for each start of the node.
    std::string incarnation;
    adapters::http_client client;
    adapters::kv_store kv;
    adapters::metrics metrics;

    config_table config;
    admission_gate admission;
    upstream_table upstreams;

    /// Set when the node is to stop: it refuses new work and finishes what runs.
    std::atomic<bool> draining{false};
};

} // namespace figspoke::node
