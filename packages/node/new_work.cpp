#include "node/new_work.h"

#include "core/hash.h"

namespace figspoke::node {
namespace {

using core::error_kind;
using clock = std::chrono::steady_clock;

} // namespace

std::optional<core::error> refusal_of_new_work(node_state& node) {
    if (node.refuses_new_work.load()) {
        return core::error{error_kind::draining, "this node is being stopped", std::nullopt};
    }
    if (!current_config(node.config) || !node.admission_sized.load()) {
        return core::error{error_kind::isolated, "this node has no configuration table yet", std::nullopt};
    }
    if (decide_service(node.nodes, clock::now()) == state::service_decision::isolated) {
        return core::error{error_kind::isolated,
                           "this node reaches neither the key-value service nor most other nodes",
                           std::nullopt};
    }
    return std::nullopt;
}

core::result<accepted_caller> accept_caller(node_state& node, const adapters::http_request& request,
                                            core::steady_time now) {
    if (auto refusal = refusal_of_new_work(node)) {
        return tl::make_unexpected(*refusal);
    }
    auto config = current_config(node.config);
    auto caller = read_caller(request, *config, node.settings.policy.default_deadline, now);
    if (!caller) {
        return tl::make_unexpected(caller.error());
    }
    return accepted_caller{std::move(config), std::move(*caller)};
}

std::vector<std::string> addresses_for(node_state& node, const core::error& cause) {
    constexpr std::size_t address_count = 3;
    if (cause.kind != error_kind::draining) {
        return {};
    }
    return entry_addresses(node.nodes, core::random_hex(8), address_count, clock::now());
}

} // namespace figspoke::node
