#include "cli/node_call.h"

#include "adapters/http_client.h"

namespace figspoke::cli {

core::result<nlohmann::json> get_json(const std::string& node, const std::string& target,
                                      const std::string& method) {
    adapters::http_call call;
    call.address = node;
    call.method = method;
    call.target = target;
    const auto reply = adapters::fetch_blocking(call);
    if (!reply) {
        return core::fail(core::error_kind::store_unavailable, "node " + node + ": " + reply.error().message);
    }
    auto body = nlohmann::json::parse(reply->body, nullptr, false);
    if (reply->status != 200 || !body.is_object()) {
        return core::fail(core::error_kind::internal, "node " + node + " answered " + method + " " + target +
                                                          " with status " + std::to_string(reply->status) +
                                                          ": " + reply->body);
    }
    return body;
}

} // namespace figspoke::cli
