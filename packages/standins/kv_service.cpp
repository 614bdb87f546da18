#include "standins/kv_service.h"

#include <algorithm>
#include <memory>

#include "adapters/wakeup.h"
#include "standins/control.h"
#include "standins/kv_store.h"

namespace figspoke::standins {
namespace {

using adapters::http_exchange;
using adapters::http_reply;
using adapters::http_request;
using nlohmann::json;

constexpr std::size_t max_value_bytes = 1048576;
constexpr std::chrono::milliseconds max_watch{120000};

struct kv_control {
    int delay_ms = 0;
    bool down = false;
    int drop_replies = 0;
    bool lease_pause = false;
    bool keep_copy = false;
    bool return_to_copy = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(kv_control, delay_ms, down, drop_replies, lease_pause, keep_copy,
                                   return_to_copy)

struct kv_counts {
    std::uint64_t reads = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lease_calls = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(kv_counts, reads, lists, watches, writes, conflicts, lease_calls)

struct kv_data {
    kv_store store;
    /// What `return_to_copy` brings back.
    kv_store copy;
    kv_counts counts;
    std::vector<std::shared_ptr<adapters::wakeup>> watchers;
};

struct kv_service {
    guarded<kv_control> control;
    guarded<kv_data> data;
};

core::steady_time now() {
    return std::chrono::steady_clock::now();
}

// Watches are few and writes are slow calls, so a write wakes all of them.
void wake_watchers(kv_data& data) {
    for (const auto& watcher : data.watchers) {
        watcher->signal();
    }
    data.watchers.clear();
}

std::optional<std::uint64_t> number_of(const http_request& request, const std::string& name) {
    const auto found = request.query.find(name);
    if (found == request.query.end() || found->second.empty() ||
        found->second.find_first_not_of("0123456789") != std::string::npos || found->second.size() > 18) {
        return std::nullopt;
    }
    return std::stoull(found->second);
}

http_reply missing(const std::string& name) {
    return json_reply(400, {{"error", "query parameter \"" + name + "\" is absent or not a number"}});
}

http_reply not_found() {
    return json_reply(404, {{"error", "key"}});
}

http_reply value_reply(const kv_entry& entry) {
    return {200, {{"X-Version", std::to_string(entry.version)}}, entry.value};
}

http_reply outcome_reply(kv_data& data, const kv_outcome& outcome) {
    switch (outcome.status) {
    case kv_status::done:
        wake_watchers(data);
        return json_reply(200, {{"version", outcome.version}});
    case kv_status::conflict:
        ++data.counts.conflicts;
        return json_reply(409, {{"version", outcome.version}});
    case kv_status::lease_ended:
        return json_reply(404, {{"error", "lease"}});
    case kv_status::not_found:
        break;
    }
    return not_found();
}

http_reply serve_put(kv_data& data, const std::string& key, const http_request& request) {
    ++data.counts.writes;
    const auto expect = number_of(request, "expect");
    if (!expect) {
        return missing("expect");
    }
    if (request.body.size() > max_value_bytes) {
        return json_reply(413, {{"error", "value is larger than 1048576 bytes"}});
    }
    const auto lease = request.query.find("lease");
    return outcome_reply(data, kv_put(data.store, key, request.body, *expect,
                                      lease == request.query.end() ? std::string() : lease->second));
}

http_reply serve_key(kv_data& data, const std::string& key, const http_request& request) {
    if (request.method == "PUT") {
        return serve_put(data, key, request);
    }
    if (request.method == "DELETE") {
        ++data.counts.writes;
        const auto expect = number_of(request, "expect");
        return expect ? outcome_reply(data, kv_remove(data.store, key, *expect)) : missing("expect");
    }
    ++data.counts.reads;
    const auto entry = kv_get(data.store, key);
    return entry ? value_reply(*entry) : not_found();
}

http_reply serve_list(kv_data& data, const std::string& prefix) {
    ++data.counts.lists;
    json keys = json::array();
    for (const auto& [key, version] : kv_list(data.store, prefix)) {
        keys.push_back({{"key", key}, {"version", version}});
    }
    return json_reply(200, {{"keys", keys}});
}

http_reply serve_lease(kv_data& data, const http_request& request) {
    ++data.counts.lease_calls;
    if (request.path == "/lease") {
        const auto ttl = number_of(request, "ttl_ms");
        return ttl ? json_reply(200,
                                {{"lease", kv_grant(data.store, std::chrono::milliseconds(*ttl), now())}})
                   : missing("ttl_ms");
    }
    const std::string rest = request.path.substr(7);
    const auto slash = rest.find('/');
    const auto id = rest.substr(0, slash);
    const bool known = slash == std::string::npos ? request.method == "DELETE" && kv_end_lease(data.store, id)
                                                  : kv_renew(data.store, id, now());
    return known ? json_reply(200, {{"lease", id}}) : json_reply(404, {{"error", "lease"}});
}

bool starts_with(const std::string& text, std::string_view prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

http_reply serve_call(kv_data& data, const http_request& request) {
    kv_expire(data.store, now());
    if (starts_with(request.path, "/kv/")) {
        return serve_key(data, request.path.substr(4), request);
    }
    if (starts_with(request.path, "/list/")) {
        return serve_list(data, request.path.substr(6));
    }
    if (request.path == "/lease" || starts_with(request.path, "/lease/")) {
        return serve_lease(data, request);
    }
    return json_reply(404, {{"error", "path"}});
}

struct watch_step {
    std::optional<kv_entry> entry;
    std::shared_ptr<adapters::wakeup> watcher;
};

// The check and the registration share one lock, so that no write falls between them.
watch_step check_or_register(kv_data& data, const std::string& key, std::uint64_t after,
                             const boost::asio::yield_context& yield) {
    kv_expire(data.store, now());
    auto entry = kv_get(data.store, key);
    if (entry && entry->version > after) {
        return {std::move(entry), nullptr};
    }
    auto watcher = std::make_shared<adapters::wakeup>(yield.get_executor());
    data.watchers.push_back(watcher);
    return {std::nullopt, watcher};
}

void remove_watcher(kv_data& data, const std::shared_ptr<adapters::wakeup>& watcher) {
    auto& list = data.watchers;
    list.erase(std::remove(list.begin(), list.end(), watcher), list.end());
}

void serve_watch(kv_service& service, http_exchange& exchange) {
    const auto& request = exchange.request();
    const std::string key = request.path.substr(7);
    const auto after = number_of(request, "after").value_or(0);
    const auto timeout = std::min<std::chrono::milliseconds>(
        max_watch, std::chrono::milliseconds(number_of(request, "timeout_ms").value_or(0)));
    const auto deadline = now() + timeout;
    service.data.with([](kv_data& data) { ++data.counts.watches; });
    while (true) {
        const auto step = service.data.with(
            [&](kv_data& data) { return check_or_register(data, key, after, exchange.yield()); });
        if (step.entry) {
            return send_answer(service.control, exchange, value_reply(*step.entry), false);
        }
        step.watcher->wait_until(deadline, exchange.yield());
        service.data.with([&](kv_data& data) { remove_watcher(data, step.watcher); });
        const bool down = service.control.with([](const kv_control& fields) { return fields.down; });
        if (down || now() >= deadline) {
            return send_answer(service.control, exchange, {204, {}, {}}, false);
        }
    }
}

void serve(kv_service& service, http_exchange& exchange) {
    const auto& request = exchange.request();
    if (starts_with(request.path, "/watch/")) {
        return serve_watch(service, exchange);
    }
    const auto reply = service.data.with([&](kv_data& data) { return serve_call(data, request); });
    send_answer(service.control, exchange, reply, request.method != "GET" && reply.status == 200);
}

std::optional<std::string> apply(kv_service& service, const json& patch) {
    auto problem = service.control.with([&](kv_control& fields) { return apply_patch(fields, patch); });
    const auto fields = service.control.with([](kv_control& current) {
        const auto asked = current;
        current.keep_copy = false;
        current.return_to_copy = false;
        return asked;
    });
    service.data.with([&](kv_data& data) {
        kv_pause_leases(data.store, fields.lease_pause, now());
        if (fields.return_to_copy) {
            kv_return(data.store, data.copy);
        }
        if (fields.keep_copy) {
            data.copy = data.store;
        }
        wake_watchers(data);
    });
    return problem;
}

} // namespace

standin_role make_kv_service() {
    const auto service = std::make_shared<kv_service>();
    standin_role role;
    role.serve = [service](http_exchange& exchange) { serve(*service, exchange); };
    role.read_control = [service] { return json(service->control.copy()); };
    role.apply_control = [service](const json& patch) { return apply(*service, patch); };
    role.counts = [service] {
        return service->data.with([](const kv_data& data) { return json(data.counts); });
    };
    role.is_down = [service] {
        return service->control.with([](const kv_control& fields) { return fields.down; });
    };
    return role;
}

} // namespace figspoke::standins
