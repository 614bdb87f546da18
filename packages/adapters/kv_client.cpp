#include "adapters/kv_client.h"

#include <cstdlib>

#include <nlohmann/json.hpp>

#include "adapters/json_read.h"

namespace figspoke::adapters {
namespace {

using boost::asio::yield_context;
using nlohmann::json;

struct kv_endpoint {
    http_client& client;
    std::string address;
    std::chrono::milliseconds timeout;
};

tl::unexpected<kv_error> kv_fail(kv_error_kind kind, std::string message, std::uint64_t current = 0) {
    return tl::make_unexpected(kv_error{kind, current, std::move(message)});
}

std::uint64_t json_number(const std::string& body, const char* field) {
    const json parsed = json::parse(body, nullptr, false);
    return value_or(parsed, field, std::uint64_t{0});
}

// A 5xx answer says nothing about a write's effect: the service may have failed after it.
kv_error read_failure(const http_reply& reply, const std::string& what) {
    const std::string message = what + ": status " + std::to_string(reply.status);
    switch (reply.status) {
    case 404:
        return {kv_error_kind::not_found, 0, message};
    case 409:
        return {kv_error_kind::conflict, json_number(reply.body, "version"), message};
    case 413:
        return {kv_error_kind::too_large, 0, message};
    case 204:
        return {kv_error_kind::no_change, 0, message};
    default:
        return {kv_error_kind::unclear, 0, message};
    }
}

kv_result<http_reply> call(const kv_endpoint& endpoint, const std::string& method, const std::string& target,
                           const std::string& body, std::chrono::milliseconds timeout,
                           const yield_context& yield) {
    // A write goes out on a connection of its own: a repeat on another connection after a stale one
    // could apply it twice.
    const bool is_read = method == "GET";
    const http_call request{endpoint.address, method, target, {}, body, timeout, is_read};
    auto answer = endpoint.client.fetch(request, yield);
    if (!answer) {
        const bool sent = answer.error().progress != call_progress::not_sent;
        return kv_fail(sent ? kv_error_kind::unclear : kv_error_kind::unavailable, answer.error().message);
    }
    if (answer->status != 200) {
        return tl::make_unexpected(read_failure(*answer, method + " " + target));
    }
    return std::move(*answer);
}

kv_value read_value(const http_reply& reply) {
    const auto version = header_or_empty(reply.headers, "x-version");
    return {reply.body, std::strtoull(version.c_str(), nullptr, 10)};
}

kv_result<std::vector<std::string>> read_keys(const http_reply& reply) {
    const json parsed = json::parse(reply.body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("keys") || !parsed["keys"].is_array()) {
        return kv_fail(kv_error_kind::unclear, "list answer has no array \"keys\"");
    }
    std::vector<std::string> keys;
    for (const auto& entry : parsed["keys"]) {
        keys.push_back(value_or(entry, "key", std::string()));
    }
    return keys;
}

template <class Read>
auto transform(kv_result<http_reply> reply, Read read) -> kv_result<decltype(read(*reply))> {
    if (!reply) {
        return tl::make_unexpected(std::move(reply.error()));
    }
    return read(*reply);
}

kv_result<void> without_body(kv_result<http_reply> reply) {
    if (!reply) {
        return tl::make_unexpected(std::move(reply.error()));
    }
    return {};
}

void add_value_calls(kv_store& store, const kv_endpoint& at) {
    store.get = [at](const std::string& key, const yield_context& yield) {
        return transform(call(at, "GET", "/kv/" + key, "", at.timeout, yield), read_value);
    };
    store.compare_and_swap = [at](const std::string& key, const std::string& value, std::uint64_t expected,
                                  const std::string& lease, const yield_context& yield) {
        const std::string target =
            "/kv/" + key + "?expect=" + std::to_string(expected) + (lease.empty() ? "" : "&lease=" + lease);
        return transform(call(at, "PUT", target, value, at.timeout, yield),
                         [](const http_reply& reply) { return json_number(reply.body, "version"); });
    };
    store.remove = [at](const std::string& key, std::uint64_t expected, const yield_context& yield) {
        const std::string target = "/kv/" + key + "?expect=" + std::to_string(expected);
        return without_body(call(at, "DELETE", target, "", at.timeout, yield));
    };
}

void add_list_and_watch(kv_store& store, const kv_endpoint& at) {
    store.list = [at](const std::string& prefix,
                      const yield_context& yield) -> kv_result<std::vector<std::string>> {
        auto reply = call(at, "GET", "/list/" + prefix, "", at.timeout, yield);
        if (!reply) {
            return tl::make_unexpected(std::move(reply.error()));
        }
        return read_keys(*reply);
    };
    store.watch = [at](const std::string& key, std::uint64_t after, std::chrono::milliseconds timeout,
                       const yield_context& yield) {
        const std::string target = "/watch/" + key + "?after=" + std::to_string(after) +
                                   "&timeout_ms=" + std::to_string(timeout.count());
        return transform(call(at, "GET", target, "", timeout + at.timeout, yield), read_value);
    };
}

void add_lease_calls(kv_store& store, const kv_endpoint& at) {
    store.create_lease = [at](std::chrono::milliseconds ttl, const yield_context& yield) {
        const std::string target = "/lease?ttl_ms=" + std::to_string(ttl.count());
        return transform(call(at, "POST", target, "", at.timeout, yield), [](const http_reply& reply) {
            const json parsed = json::parse(reply.body, nullptr, false);
            return value_or(parsed, "lease", std::string());
        });
    };
    store.renew_lease = [at](const std::string& lease, const yield_context& yield) {
        return without_body(call(at, "POST", "/lease/" + lease + "/renew", "", at.timeout, yield));
    };
}

} // namespace

kv_store make_kv_store(http_client& client, const std::string& address, std::chrono::milliseconds timeout) {
    const kv_endpoint endpoint{client, address, timeout};
    kv_store store;
    add_value_calls(store, endpoint);
    add_list_and_watch(store, endpoint);
    add_lease_calls(store, endpoint);
    return store;
}

} // namespace figspoke::adapters
