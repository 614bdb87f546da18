#include "policy/overload_defaults.h"

namespace figspoke::policy {
namespace {

using std::chrono::milliseconds;

admission_settings low_latency_settings() {
    admission_settings settings;
    settings.account_queue_share = 0.25;
    settings.headroom = 0.4;
    settings.max_wait = {milliseconds(1500), milliseconds(5000), milliseconds(30000)};
    return settings;
}

// Long drafts are queued rather than refused, and normal work, which includes them, has a higher floor.
admission_settings dependable_drafts_settings() {
    admission_settings settings;
    settings.floors = {0.60, 0.30, 0.10};
    settings.queue_limits = {200, 400, 400};
    settings.account_queue_share = 0.5;
    settings.headroom = 0.3;
    settings.max_wait = {milliseconds(3000), milliseconds(30000), milliseconds(120000)};
    settings.wait_margin = 1.2;
    return settings;
}

void apply_floors(const core::config_snapshot& config, admission_settings& settings) {
    double sum = 0;
    for (const auto& row : config.priorities) {
        sum += row.floor;
    }
    if (sum <= 0) {
        return;
    }
    const double scale = sum > 1 ? 1 / sum : 1;
    for (std::size_t i = 0; i < core::priority_count; ++i) {
        settings.floors.at(i) = config.priorities.at(i).floor * scale;
    }
}

} // namespace

admission_settings default_admission_settings(deployment_profile profile) {
    return profile == deployment_profile::low_latency ? low_latency_settings() : dependable_drafts_settings();
}

admission_settings admission_settings_from(const core::config_snapshot& config, deployment_profile profile) {
    admission_settings settings = default_admission_settings(profile);
    apply_floors(config, settings);
    for (std::size_t i = 0; i < core::priority_count; ++i) {
        if (config.priorities.at(i).queue_limit > 0) {
            settings.queue_limits.at(i) = static_cast<std::size_t>(config.priorities.at(i).queue_limit);
        }
    }
    return settings;
}

} // namespace figspoke::policy
