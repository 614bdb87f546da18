#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace figspoke::cli {

/// The flags of `figspoke` that its commands share.
struct options {
    /// `IP:port` of the key-value service.
    std::string kv;
    /// `IP:port` of a node.
    std::string node;
    std::string author;
    std::chrono::milliseconds wait{10000};
    bool remove_missing = false;
    bool dry_run = false;
};

/// The words after a command.
using words = std::vector<std::string>;

} // namespace figspoke::cli
