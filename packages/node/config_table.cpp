#include "node/config_table.h"

#include "core/table.h"

namespace figspoke::node {

core::result<bool> apply_table(config_table& config, const std::string& encoded) {
    const auto decoded = core::decode_table(encoded);
    if (!decoded) {
        return tl::make_unexpected(decoded.error());
    }
    auto built = core::build_snapshot(*decoded);
    if (!built) {
        return tl::make_unexpected(built.error());
    }
    auto next = std::make_shared<const core::config_snapshot>(std::move(*built));
    const std::lock_guard lock(config.mutex);
    if (config.snapshot && config.snapshot->revision >= next->revision) {
        return false;
    }
    config.snapshot = std::move(next);
    config.encoded = std::make_shared<const std::string>(encoded);
    return true;
}

std::shared_ptr<const core::config_snapshot> current_config(const config_table& config) {
    const std::lock_guard lock(config.mutex);
    return config.snapshot;
}

std::shared_ptr<const std::string> current_encoded(const config_table& config) {
    const std::lock_guard lock(config.mutex);
    return config.encoded;
}

std::uint64_t current_revision(const config_table& config) {
    const auto snapshot = current_config(config);
    return snapshot ? snapshot->revision : 0;
}

} // namespace figspoke::node
