#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/table.h"
#include "support/process/http.h"
#include "support/process/process.h"

namespace figspoke::test {

/// An upstream to start: a model engine where it has versions, a plain service where it has services.
struct upstream_spec {
    std::string name;
    std::vector<std::string> versions;
    std::vector<std::string> services;
    /// Further flags of `standin_upstream`, such as `--slots=2`.
    std::vector<std::string> flags;
};

/// What a fleet consists of.
struct fleet_spec {
    int nodes = 3;
    int failure_domains = 3;
    std::vector<upstream_spec> upstreams;
    /// Flags of `standin_platform`.
    std::vector<std::string> platform_flags;
    /// Changes the table before it is stored.
    std::function<void(core::table&)> edit_table;
    /// Text that is added to each node's settings file.
    std::string more_settings;
    int node_threads = 2;
};

/// The API key of account `tester`, which may use every version in the fleet's first table.
inline constexpr const char* test_api_key = "tester-key";

/// A running key-value service, platform, upstreams and nodes on loopback.
class fleet {
  public:
    /// Starts everything, stores the first table and waits until all nodes are ready.
    explicit fleet(fleet_spec spec);

    const std::string& kv() const { return kv_address_; }
    const std::string& platform() const { return platform_address_; }
    const std::string& upstream(const std::string& name) const { return upstreams_.at(name).address; }
    const std::string& node(int index) const { return nodes_.at(static_cast<std::size_t>(index)).address; }
    child_process& node_process(int index) { return *nodes_.at(static_cast<std::size_t>(index)).process; }
    child_process& upstream_process(const std::string& name) { return *upstreams_.at(name).process; }
    int node_count() const { return static_cast<int>(nodes_.size()); }
    const std::string& directory() const { return directory_.path(); }

    /// Starts a node that has ended, with the same settings; its address may change.
    void start_node(int index);

    /// Starts an upstream that has ended, on the same address.
    void start_upstream(const std::string& name);

    /// Returns whether the node answers `/readyz` with 200 within the time.
    bool wait_until_ready(int index, std::chrono::milliseconds timeout = std::chrono::seconds(30));

    /// Shows all nodes and upstreams in the VM list, those in `leaving` as leaving.
    void publish_vms(const std::vector<std::string>& leaving = {});

    /// Reads the configuration table.
    core::table read_table();

    /// Reads, changes and stores the table at the next revision; repeats after a conflict.
    void change_table(const std::function<void(core::table&)>& change);

    /// Returns the executions of all upstreams that run.
    std::vector<nlohmann::json> executions();

    /// Posts a chat request with the tester's key.
    http_answer chat(int node_index, const nlohmann::json& body, const adapters::http_headers& headers = {});

  private:
    struct member {
        std::string name;
        std::string address;
        std::string failure_domain;
        std::unique_ptr<child_process> process;
    };

    void start_platform();
    void start_upstreams();
    void start_nodes();
    void run_upstream(const upstream_spec& spec, int port);
    std::string domain_of(int index) const;

    temporary_directory directory_;
    fleet_spec spec_;
    std::unique_ptr<child_process> kv_process_;
    std::unique_ptr<child_process> platform_process_;
    std::string kv_address_;
    std::string platform_address_;
    std::map<std::string, member> upstreams_;
    std::vector<member> nodes_;
};

} // namespace figspoke::test
