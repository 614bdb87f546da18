#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "core/config.h"
#include "core/error.h"

namespace figspoke::node {

/// The configuration that is in force on this node.
struct config_table {
    mutable std::mutex mutex;
    std::shared_ptr<const core::config_snapshot> snapshot;
    /// The table as the key-value service holds it, for peers that ask.
    std::shared_ptr<const std::string> encoded;
};

/// Puts an encoded table in force if its revision is higher than the current one. Returns whether it was;
/// fails with `bad_request` where the table is malformed, which leaves the current one in force.
core::result<bool> apply_table(config_table& config, const std::string& encoded);

/// Returns the configuration in force; null before the first table was applied.
std::shared_ptr<const core::config_snapshot> current_config(const config_table& config);

/// Returns the encoded table in force; null before the first table was applied.
std::shared_ptr<const std::string> current_encoded(const config_table& config);

/// Returns the revision in force, or 0.
std::uint64_t current_revision(const config_table& config);

} // namespace figspoke::node
