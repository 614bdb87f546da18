#include "node/routes.h"

#include <nlohmann/json.hpp>

#include "node/admin_reply.h"
#include "node/chat_flow.h"
#include "node/error_reply.h"
#include "node/models_reply.h"
#include "node/new_work.h"
#include "node/service_flow.h"
#include "state/entry_choice.h"

namespace figspoke::node {
namespace {

using adapters::http_exchange;
using core::error_kind;

constexpr std::size_t entry_count = 3;
constexpr std::string_view orders_prefix = "/v1/orders/";
constexpr std::string_view services_prefix = "/v1/services/";

bool has_prefix(const std::string& path, std::string_view prefix) {
    return path.size() > prefix.size() && path.compare(0, prefix.size(), prefix) == 0;
}

void serve_models(node_state& node, http_exchange& exchange) {
    const auto accepted = accept_caller(node, exchange.request(), std::chrono::steady_clock::now());
    exchange.send(accepted ? models_reply(*accepted->config, accepted->caller.account)
                           : error_reply(accepted.error()));
}

// `caller` spreads callers over the nodes and keeps each at the same ones; any text will do.
void serve_entry(node_state& node, http_exchange& exchange) {
    const auto& query = exchange.request().query;
    const auto named = query.find("caller");
    const std::string caller = named != query.end()
                                   ? named->second
                                   : adapters::header_or_empty(exchange.request().headers, "authorization");
    const auto addresses = entry_addresses(node.nodes, caller, entry_count, std::chrono::steady_clock::now());
    const nlohmann::json body = {{"addresses", addresses}, {"valid_ms", state::entry_validity.count()}};
    exchange.send(json_reply(body.dump()));
}

bool serve_caller(node_state& node, http_exchange& exchange) {
    const auto& request = exchange.request();
    const bool is_post = request.method == "POST";
    if (is_post && request.path == "/v1/chat/completions") {
        serve_chat(node, exchange);
    } else if (is_post && has_prefix(request.path, orders_prefix)) {
        serve_order(node, exchange, request.path.substr(orders_prefix.size()));
    } else if (is_post && has_prefix(request.path, services_prefix)) {
        serve_lookup(node, exchange, request.path.substr(services_prefix.size()));
    } else if (request.method == "GET" && request.path == "/v1/models") {
        serve_models(node, exchange);
    } else if (request.method == "GET" && request.path == "/v1/entry") {
        serve_entry(node, exchange);
    } else {
        return false;
    }
    return true;
}

} // namespace

void serve_request(node_state& node, http_exchange& exchange) {
    if (serve_caller(node, exchange) || serve_operator(node, exchange)) {
        return;
    }
    const auto& request = exchange.request();
    exchange.send(error_reply(
        {error_kind::not_found, "no resource answers " + request.method + " " + request.path, std::nullopt}));
}

} // namespace figspoke::node
