#include "node/models_reply.h"

#include <nlohmann/json.hpp>

#include "node/error_reply.h"

namespace figspoke::node {

adapters::http_reply models_reply(const core::config_snapshot& config, const core::client_account& account) {
    auto data = nlohmann::json::array();
    for (const auto& [id, version] : config.versions) {
        if (version.state == core::version_state::active && core::is_allowed(account, version)) {
            data.push_back({{"id", id}, {"object", "model"}, {"owned_by", "figspoke"}});
        }
    }
    return json_reply(nlohmann::json{{"object", "list"}, {"data", data}}.dump());
}

} // namespace figspoke::node
