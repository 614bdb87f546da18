#include "node/node.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>

#include "adapters/await.h"
#include "adapters/decision_log.h"
#include "node/cluster_loops.h"
#include "node/error_reply.h"
#include "node/evidence_loops.h"
#include "node/node_state.h"
#include "node/routes.h"
#include "node/shutdown.h"
#include "node/upstream_loops.h"
#include "node/vm_watch.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kv_timeout{2000};
constexpr std::chrono::milliseconds upkeep_period{50};
constexpr std::size_t run_id_bytes = 6;

std::string read_secret_or_throw(const std::string& path) {
    const auto secret = core::read_secret(path);
    if (!secret) {
        throw std::runtime_error(secret.error().message);
    }
    return *secret;
}

node_secrets read_secrets(const core::settings& settings) {
    return {read_secret_or_throw(settings.token_key_file), read_secret_or_throw(settings.mesh.secret_file)};
}

// The file appears under its name only once it is whole: whoever waits for it may read it at once.
void write_port_file(const std::string& path, unsigned short port) {
    if (path.empty()) {
        return;
    }
    const std::string draft = path + ".new";
    std::ofstream(draft) << port << "\n";
    std::rename(draft.c_str(), path.c_str());
}

// All nodes together fill the engines once: each takes an equal share of the slots.
double admission_capacity(node_state& node, const core::config_snapshot* config) {
    double slots = 0;
    if (config != nullptr) {
        for (const auto& [name, upstream] : config->upstreams) {
            slots += upstream.versions.empty() ? 0 : upstream.slots;
        }
    }
    const auto members = serving_members(node.nodes, clock::now())->size();
    return std::max(1.0, slots / static_cast<double>(std::max<std::size_t>(1, members)));
}

// Floors and queue limits come from the table and change with it.
policy::admission_settings admission_settings(node_state& node, const core::config_snapshot* config) {
    const auto profile = node.settings.policy.profile == "dependable_drafts"
                             ? policy::deployment_profile::dependable_drafts
                             : policy::deployment_profile::low_latency;
    auto settings = config != nullptr ? policy::admission_settings_from(*config, profile)
                                      : policy::default_admission_settings(profile);
    if (node.settings.policy.admission == "fifo") {
        settings.discipline = policy::queue_discipline::fifo;
    }
    return settings;
}

void upkeep_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        const auto config = current_config(node.config);
        update_admission(node.admission, admission_settings(node, config.get()),
                         admission_capacity(node, config.get()), clock::now());
        node.admission_sized = config != nullptr;
        send_due_charges(node);
        expire_keyed(node, clock::now());
        adapters::sleep_for(upkeep_period, yield);
    }
}

void prepare_state(node_state& node) {
    node.incarnation = node.settings.node.id + "/" + core::random_hex(run_id_bytes);
    node.kv = adapters::make_kv_store(node.client, node.settings.platform.kv, kv_timeout);
    node.charges.held.writer = node.incarnation;
    node.charges.held.limits.max_charges = static_cast<std::size_t>(node.settings.journal.unsettled_limit);
    node.admission.queue = policy::make_admission_queue(admission_settings(node, nullptr), 1, clock::now());
    node.journal.is_gone = [&node](std::string_view incarnation) {
        return is_incarnation_gone(node.nodes, incarnation, clock::now());
    };
}

adapters::http_server_limits server_limits(const core::settings& settings) {
    adapters::http_server_limits limits;
    limits.body_bytes = static_cast<std::uint64_t>(settings.limits.body_bytes);
    limits.request_timeout = settings.limits.request_timeout;
    limits.idle_timeout = settings.limits.idle_timeout;
    limits.write_timeout = settings.limits.write_timeout;
    limits.connections = static_cast<std::size_t>(settings.limits.connections);
    limits.memory = std::make_shared<policy::memory_budget>(
        policy::divide_memory(static_cast<std::size_t>(settings.limits.memory_mb) * 1024 * 1024));
    return limits;
}

std::string advertised(const core::settings& settings, unsigned short port) {
    const std::string& address =
        settings.node.advertise.empty() ? settings.node.listen : settings.node.advertise;
    const auto colon = address.rfind(':');
    const bool any_port = address.substr(colon + 1) == "0";
    return any_port ? address.substr(0, colon + 1) + std::to_string(port) : address;
}

void run_threads(boost::asio::io_context& context, std::int64_t count) {
    std::vector<std::thread> threads;
    for (std::int64_t i = 1; i < count; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto& thread : threads) {
        thread.join();
    }
}

void start_work(node_state& node) {
    start_cluster(node);
    start_journal(node.journal, node.context, node.kv, node.settings.journal, node.incarnation);
    start_evidence(node);
    start_rates(node);
    start_vm_watch(node);
    start_upstream_reports(node);
    adapters::spawn_coroutine(node.context,
                              [&node](const yield_context& yield) { upkeep_loop(node, yield); });
}

} // namespace

int run_node(const core::settings& settings) {
    boost::asio::io_context context(static_cast<int>(settings.node.threads));
    node_state node(context, settings, read_secrets(settings));
    adapters::open_log(settings.log);
    prepare_state(node);
    adapters::http_server server(
        context, settings.node.listen,
        [&node](adapters::http_exchange& exchange) { serve_request(node, exchange); }, protocol_error_reply,
        server_limits(settings));
    node.advertised_address = advertised(settings, server.port());
    start_work(node);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&node](const boost::system::error_code& code, int) {
        if (!code) {
            begin_shutdown(node);
        }
    });
    adapters::spawn_coroutine(context, [&](const yield_context& yield) {
        await_shutdown(node, server, yield);
        context.stop();
    });
    write_port_file(settings.node.port_file, server.port());
    adapters::log_info("started", settings.node.id + " serves callers on " + node.advertised_address);
    run_threads(context, settings.node.threads);
    adapters::flush_log();
    return 0;
}

} // namespace figspoke::node
