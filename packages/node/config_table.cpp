#include "node/config_table.h"

#include <algorithm>

#include "core/table_edit.h"
#include "state/store_position.h"
#include "state/table_freshness.h"

namespace figspoke::node {
namespace {

struct decoded_table {
    std::shared_ptr<const core::config_snapshot> snapshot;
    std::vector<core::table_change> log;
};

core::result<decoded_table> decode(const std::string& encoded) {
    auto table = core::decode_table(encoded);
    if (!table) {
        return tl::make_unexpected(table.error());
    }
    auto built = core::build_snapshot(*table);
    if (!built) {
        return tl::make_unexpected(built.error());
    }
    return decoded_table{std::make_shared<const core::config_snapshot>(std::move(*built)),
                         std::move(table->log)};
}

// A full log has dropped its oldest changes, so that the lack of an older one says nothing.
std::vector<core::table_change> changes_missing_from(const std::vector<core::table_change>& later,
                                                     const std::vector<core::table_change>& earlier) {
    const std::uint64_t reach = later.size() < core::max_table_log ? 0 : later.front().revision;
    std::vector<core::table_change> missing;
    for (const auto& change : earlier) {
        const bool kept = std::any_of(later.begin(), later.end(), [&](const core::table_change& other) {
            return other.edit_id == change.edit_id && other.key == change.key;
        });
        if (!kept && change.revision >= reach) {
            missing.push_back(change);
        }
    }
    return missing;
}

// Needs the table's lock.
bool is_in_force(const config_table& config, const std::string& encoded) {
    return config.encoded && *config.encoded == encoded;
}

// Needs the table's lock.
table_update put_in_force(config_table& config, std::uint64_t position, decoded_table next,
                          const std::string& encoded) {
    table_update update;
    update.applied = true;
    const bool replaces_other = config.snapshot && !is_in_force(config, encoded);
    if (replaces_other && !state::is_same_era(config.position, position)) {
        table_return gone_back{config.snapshot->revision, next.snapshot->revision,
                               changes_missing_from(next.log, config.log)};
        if (gone_back.to_revision <= gone_back.from_revision || !gone_back.lost.empty()) {
            ++config.return_count;
            config.last_return = gone_back;
            update.gone_back = std::move(gone_back);
        }
    }
    config.position = position;
    config.snapshot = std::move(next.snapshot);
    config.encoded = std::make_shared<const std::string>(encoded);
    config.log = std::move(next.log);
    return update;
}

} // namespace

core::result<table_update> apply_peer_table(config_table& config, std::uint64_t position,
                                            const std::string& encoded) {
    auto next = decode(encoded);
    if (!next) {
        return tl::make_unexpected(next.error());
    }
    position = state::pack_position({state::unpack_position(position).era, next->snapshot->revision});
    const std::lock_guard lock(config.mutex);
    if (config.snapshot && config.position >= position) {
        return table_update{};
    }
    return put_in_force(config, position, std::move(*next), encoded);
}

core::result<table_update> apply_stored_table(config_table& config, std::uint64_t known,
                                              const std::string& encoded) {
    {
        const std::lock_guard lock(config.mutex);
        // The common case of a table that stays as it is needs no decoding.
        if (is_in_force(config, encoded) &&
            state::position_of_read(known, config.snapshot->revision, true) == config.position) {
            return table_update{};
        }
    }
    auto next = decode(encoded);
    if (!next) {
        return tl::make_unexpected(next.error());
    }
    const std::lock_guard lock(config.mutex);
    const bool same = is_in_force(config, encoded);
    const auto position =
        state::position_of_read(known, next->snapshot->revision, same || config.position != known);
    if (!config.snapshot || config.position < position) {
        return put_in_force(config, position, std::move(*next), encoded);
    }
    table_update update;
    update.outdated = !same || config.position != position;
    return update;
}

std::shared_ptr<const core::config_snapshot> current_config(const config_table& config) {
    const std::lock_guard lock(config.mutex);
    return config.snapshot;
}

positioned_table current_table(const config_table& config) {
    const std::lock_guard lock(config.mutex);
    return {config.position, config.encoded};
}

bool holds_edit(const config_table& config, std::uint64_t revision, const std::string& edit_id) {
    const std::lock_guard lock(config.mutex);
    const auto& log = config.log;
    if (log.size() >= core::max_table_log && log.front().revision > revision) {
        return true;
    }
    return std::any_of(log.begin(), log.end(),
                       [&](const core::table_change& change) { return change.edit_id == edit_id; });
}

std::uint64_t current_revision(const config_table& config) {
    const auto snapshot = current_config(config);
    return snapshot ? snapshot->revision : 0;
}

} // namespace figspoke::node
