#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/error.h"
#include "core/table.h"

namespace figspoke::node {

/// A change of the table in force to one that lacks edits of it: the key-value service came back from an
/// older copy.
struct table_return {
    std::uint64_t from_revision = 0;
    std::uint64_t to_revision = 0;
    /// What the earlier table's log holds and the later one's doesn't, oldest first.
    std::vector<core::table_change> lost;
};

/// The configuration that is in force on this node.
struct config_table {
    mutable std::mutex mutex;
    std::shared_ptr<const core::config_snapshot> snapshot;
    /// The table as the key-value service holds it, for peers that ask.
    std::shared_ptr<const std::string> encoded;
    /// The table's packed position (state/table_freshness.h). It never decreases.
    std::uint64_t position = 0;
    /// The table's own log of changes.
    std::vector<core::table_change> log;
    /// How often the table in force lost edits, and the last time.
    std::uint64_t return_count = 0;
    std::optional<table_return> last_return;
};

/// What became of a table that a node received.
struct table_update {
    /// Whether it was put in force.
    bool applied = false;
    /// Whether it is older than the table in force; a read then has to be repeated.
    bool outdated = false;
    /// Set where it was put in force and lacks edits of the earlier one.
    std::optional<table_return> gone_back;
};

/// Puts a peer's table in force if its packed position is higher than the current one; the position's
/// revision is that of the table. Fails with `bad_request` where the table is malformed, which leaves the
/// current one in force.
core::result<table_update> apply_peer_table(config_table& config, std::uint64_t position,
                                            const std::string& encoded);

/// Puts a table in force that was read from the key-value service, or written to it, by a call that was sent
/// when the highest position known to this node was `known`. Fails as `apply_peer_table`.
core::result<table_update> apply_stored_table(config_table& config, std::uint64_t known,
                                              const std::string& encoded);

/// Returns the configuration in force; null before the first table was applied.
std::shared_ptr<const core::config_snapshot> current_config(const config_table& config);

/// A table in force with its packed position; null before the first table was applied.
struct positioned_table {
    std::uint64_t position = 0;
    std::shared_ptr<const std::string> encoded;
};
positioned_table current_table(const config_table& config);

/// Returns whether the table in force holds the edit that created `revision`. An edit that is older than the
/// table's full log reaches counts as held.
bool holds_edit(const config_table& config, std::uint64_t revision, const std::string& edit_id);

/// Returns the revision in force, or 0.
std::uint64_t current_revision(const config_table& config);

} // namespace figspoke::node
