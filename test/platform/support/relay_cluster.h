#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/time.h"
#include "platform/support/engine_stand_in.h"
#include "platform/support/store_stand_in.h"
#include "support/process/http.h"
#include "support/process/process.h"

namespace figspoke::test {

/// A relay node that runs as a process on its own loopback address.
struct relay_process {
    std::string ip;
    /// Listening addresses, `IP:port`.
    std::string callers;
    std::string readiness;
    std::string directory;
    std::string metrics;
    /// Address of the store in the node's settings.
    std::string store;
    /// How often the process was started.
    int launches = 0;
    std::unique_ptr<child_process> process;
};

/// What an operator configures beside the fixed routes and services of a cluster.
struct cluster_configuration {
    int version = 1;
    /// API keys of one tenant.
    std::vector<std::string> keys;
    /// Names of further idempotent routes of the service `shop`, which begin with /NAME/.
    std::vector<std::string> more_routes;
};

/// A stand-in store with an operator's configuration, and the relay nodes that use it.
class relay_cluster {
  public:
    relay_cluster();

    store_stand_in& store() { return store_; }

    /// Writes an engine's registry entry into the store.
    void add_engine(const std::string& id, const std::string& service, const engine_stand_in& engine,
                    const std::string& state = "ready");
    void add_engine(const std::string& id, const std::string& service, const std::string& address,
                    const std::string& state, const std::string& version = "v1", std::int64_t born = 1000);

    /// Writes an operator's configuration in which `keys` are the API keys of one tenant. Routes: /order/
    /// (runs at most once), /look/ (idempotent), /open/ (idempotent, needs no key), /chat/ (resumable
    /// stream), /once/ (stream that can't be resumed). Requests to /order/ may be sent `order_attempts`
    /// times.
    void configure(int version, const std::vector<std::string>& keys, int order_attempts = 1);
    /// The same with another value of `tenants`.
    void configure_tenants(int version, const nlohmann::json& tenants, int order_attempts = 1);

    void configure(const cluster_configuration& configuration);

    /// Sets the bound on withdrawn keys in the settings of nodes that are started later.
    void set_revocation(core::milliseconds bound) { revocation_ = bound; }

    /// Adds lines to the section `node` of the settings of nodes that are started later.
    void add_node_settings(const std::string& lines) { node_settings_ += lines; }

    /// Starts a node and waits until it is ready; throws if the node exits or doesn't become ready in time.
    relay_process& start_node();
    /// Starts a node without waiting. `store` replaces the store's address in the node's settings, for
    /// example by that of a proxy.
    relay_process& launch_node(const std::string& store = {});
    /// Starts the process of a node again after it has ended.
    void relaunch(relay_process& node);

    /// Directory with the nodes' output files.
    const std::string& output_directory() const { return directory_.path(); }

    /// Sends a POST request to a node; an empty `key` sends no API key.
    http_answer send(const relay_process& node, const std::string& path, const std::string& id,
                     const std::string& body = "b", const std::string& key = "k1",
                     const adapters::http_headers& headers = {});

    /// Replaces the settings file of a node.
    void write_settings(const relay_process& node, const std::string& text);
    /// Returns the settings with which a node is started, as TOML.
    std::string settings_of(const relay_process& node) const;

    /// Returns the addresses that a node's directory names, or none if the lookup fails.
    std::vector<std::string> look_up(const relay_process& node);

    bool is_ready(const relay_process& node);

  private:
    void write_configuration(int version, const nlohmann::json& tenants, int order_attempts,
                             const std::vector<std::string>& more_routes);
    std::string settings_file(const relay_process& node) const;

    temporary_directory directory_;
    std::string node_settings_;
    core::milliseconds revocation_{3000};
    /// Of the newest registry entry.
    int sequence_ = 0;
    store_stand_in store_;
    std::vector<int> ports_;
    std::vector<std::unique_ptr<relay_process>> nodes_;
};

} // namespace figspoke::test
