#pragma once

#include <string>
#include <vector>

#include "core/table.h"

namespace figspoke::test {

/// One upstream row.
struct upstream_row {
    std::string name;
    std::string address;
    std::string failure_domain;
    std::vector<std::string> versions;
    std::vector<std::string> services;
};

/// What a node's settings file says.
struct node_settings {
    std::string id;
    std::string failure_domain;
    std::string directory;
    int threads = 2;
    std::vector<int> mesh_ports;
    /// Index of the node's own port in `mesh_ports`.
    std::size_t index = 0;
    std::string kv;
    std::string platform;
    std::string more;
};

/// Returns a table with account `tester`, the priorities, and rows for the upstreams and what they offer.
core::table first_table(const std::vector<upstream_row>& upstreams, const std::string& api_key);

/// Returns the text of a node's settings file.
std::string settings_text(const node_settings& settings);

/// Returns the path of a node's port file.
std::string port_file_of(const std::string& directory, const std::string& name);

} // namespace figspoke::test
