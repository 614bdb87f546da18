#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace figspoke::core {

/// Section `[node]`: the process itself.
struct node_section {
    std::string id;
    std::string failure_domain;
    /// `IP:port` to listen on for callers and operators; port 0 picks one.
    std::string listen = "127.0.0.1:0";
    /// `IP:port` that callers are told; empty for the listen address.
    std::string advertise;
    /// File that receives the port once the node listens; empty for none.
    std::string port_file;
    std::int64_t threads = 4;
};

/// Section `[mesh]`: links between nodes.
struct mesh_section {
    std::string listen = "127.0.0.1:0";
    std::string secret_file;
    std::vector<std::string> seeds;
};

/// Section `[platform]`: addresses of the platform's services, `IP:port`.
struct platform_section {
    std::string kv;
    std::string vms;
    std::string weights;
    std::string ratings;
};

/// Section `[journal]`: durable records of orders and charges.
struct journal_section {
    /// Must be the same on all nodes and never change while records exist.
    std::int64_t shards = 16;
    std::chrono::milliseconds charge_flush{250};
    std::int64_t backlog_limit = 2000;
    std::chrono::seconds idempotency_window{86400};
    std::int64_t unsettled_limit = 10000;
};

/// Section `[policy]`: which decision code runs. The first choice of each is the product's own.
struct policy_section {
    /// `least_cost`, `always_best`, `always_cheapest` or `fixed_cascade`.
    std::string plan = "least_cost";
    /// `fair` or `fifo`.
    std::string admission = "fair";
    /// `bounded_load` or `round_robin`.
    std::string upstreams = "bounded_load";
    bool early_stop = true;
    /// `low_latency` or `dependable_drafts`: what the admission queue weighs most.
    std::string profile = "low_latency";
    /// Least number of upstreams of each version that a node uses and reads reports of.
    std::int64_t upstreams_per_version = 16;
    std::chrono::milliseconds default_deadline{60000};
    /// Seed of the node's random choices; 0 takes one from the system.
    std::int64_t seed = 0;
};

/// Section `[limits]`: bounds on input from outside.
struct limits_section {
    std::int64_t body_bytes = 4194304;
    std::chrono::milliseconds request_timeout{10000};
    std::chrono::milliseconds idle_timeout{60000};
    std::chrono::milliseconds write_timeout{10000};
    std::int64_t connections = 10000;
    /// Memory that the process may use. Connections and bodies may take a quarter each.
    std::int64_t memory_mb = 2048;
};

/// Section `[log]`.
struct log_section {
    /// Empty for standard output.
    std::string file;
    std::string level = "info";
};

/// All settings of a node.
struct settings {
    node_section node;
    mesh_section mesh;
    platform_section platform;
    journal_section journal;
    policy_section policy;
    limits_section limits;
    log_section log;
    /// File with the key that signs conversation tokens; the same on all nodes.
    std::string token_key_file;
};

/// Parses settings from TOML. The `bad_request` error names the key, its value and what is accepted.
result<settings> parse_settings(std::string_view text);

/// Reads and parses a settings file.
result<settings> load_settings(const std::string& path);

/// Reads a file with a secret, without its trailing line break; fails where it is missing or empty.
result<std::string> read_secret(const std::string& path);

} // namespace figspoke::core
