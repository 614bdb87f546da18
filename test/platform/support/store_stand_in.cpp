#include "platform/support/store_stand_in.h"

#include <nlohmann/json.hpp>

#include "platform/store_client.h"

namespace figspoke::test {

using nlohmann::json;

store_stand_in::store_stand_in() {
    server_ = std::make_unique<adapters::http_server>(
        context_, "127.0.0.1:0", [this](adapters::http_exchange& exchange) { serve(exchange); },
        [](int status, std::string_view message) {
            return adapters::http_reply{status, {}, std::string(message)};
        });
    thread_ = std::thread([this] { context_.run(); });
}

store_stand_in::~store_stand_in() {
    context_.stop();
    thread_.join();
}

std::string store_stand_in::address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
}

void store_stand_in::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    items_[key] = {value, ++revision_};
}

void store_stand_in::remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    items_.erase(key);
}

std::string store_stand_in::get(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value;
}

void store_stand_in::serve(adapters::http_exchange& exchange) {
    ++calls_;
    if (unavailable_) {
        exchange.send({503, {}, {}});
        return;
    }
    const auto& request = exchange.request();
    const auto query_parameter = [&](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    if (request.path == "/kv-range") {
        exchange.send(read_range(query_parameter("pathPrefix")));
    } else if (request.path == "/kv-key") {
        exchange.send(read_key(query_parameter("key")));
    } else if (request.path == "/kv-txn") {
        const auto reply = write(request.body);
        if (replies_to_drop_ > 0) {
            --replies_to_drop_;
            return;
        }
        exchange.send(reply);
    } else {
        exchange.send({404, {}, {}});
    }
}

adapters::http_reply store_stand_in::read_range(const std::string& prefix) const {
    const std::lock_guard lock(mutex_);
    json list = json::array();
    for (const auto& [name, stored] : items_) {
        if (name.compare(0, prefix.size(), prefix) == 0) {
            list.push_back({{"key", name},
                            {"value", platform::encode_base64(stored.value)},
                            {"revision", stored.revision},
                            {"lease", 0}});
        }
    }
    return {200, {}, json{{"items", list}, {"hasMore", false}, {"at", revision_}}.dump()};
}

adapters::http_reply store_stand_in::read_key(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(name);
    if (found == items_.end()) {
        return {404, {}, {}};
    }
    return {200,
            {},
            json{{"key", name},
                 {"value", platform::encode_base64(found->second.value)},
                 {"revision", found->second.revision}}
                .dump()};
}

adapters::http_reply store_stand_in::write(const std::string& body) {
    const std::lock_guard lock(mutex_);
    const auto call = json::parse(body);
    for (const auto& condition : call.at("expectedRevision")) {
        const auto found = items_.find(condition.at("key").get<std::string>());
        const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
        if (revision != condition.at("revision").get<std::uint64_t>()) {
            return {412, {}, R"({"items":[]})"};
        }
    }
    ++revision_;
    for (const auto& put : call.at("puts")) {
        items_[put.at("key").get<std::string>()] = {
            platform::decode_base64(put.at("value").get<std::string>()).value(), revision_};
    }
    return {200, {}, json{{"revision", revision_}}.dump()};
}

} // namespace figspoke::test
