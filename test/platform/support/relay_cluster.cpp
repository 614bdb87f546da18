#include "platform/support/relay_cluster.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace figspoke::test {

using nlohmann::json;

namespace {

constexpr int ports_per_node = 5;

json make_route(const std::string& name, const std::string& kind, const std::string& service) {
    return {{"name", name},       {"host", "h"},        {"pathPrefix", "/" + name + "/"}, {"kind", kind},
            {"service", service}, {"timeoutMs", 8000},  {"targetLatencyMs", 300},         {"priority", 1},
            {"maxAttempts", 3},   {"resumable", false}, {"allowAnonymous", false}};
}

json tenant_with(const std::vector<std::string>& keys) {
    return json::array({json{{"name", "tenant-1"}, {"apiKeys", keys}}});
}

} // namespace

relay_cluster::relay_cluster() : ports_(pick_free_ports(ports_per_node)) {}

void relay_cluster::add_engine(const std::string& id, const std::string& service,
                               const engine_stand_in& engine, const std::string& state) {
    add_engine(id, service, engine.address(), state);
}

void relay_cluster::add_engine(const std::string& id, const std::string& service, const std::string& address,
                               const std::string& state, const std::string& version, std::int64_t born) {
    const json entry = {{"service", service},      {"address", address}, {"zone", "z"},
                        {"version", version},      {"slots", 8},         {"state", state},
                        {"sequence", ++sequence_}, {"born", born}};
    store_.put("servers/" + id, entry.dump());
}

void relay_cluster::configure(int version, const std::vector<std::string>& keys, int order_attempts) {
    configure_tenants(version, tenant_with(keys), order_attempts);
}

void relay_cluster::configure_tenants(int version, const json& tenants, int order_attempts) {
    write_configuration(version, tenants, order_attempts, {});
}

void relay_cluster::configure(const cluster_configuration& configuration) {
    write_configuration(configuration.version, tenant_with(configuration.keys), 1, configuration.more_routes);
}

void relay_cluster::write_configuration(int version, const json& tenants, int order_attempts,
                                        const std::vector<std::string>& more_routes) {
    auto order = make_route("order", "unsafe", "shop");
    order["maxAttempts"] = order_attempts;
    auto open = make_route("open", "safe", "shop");
    open["allowAnonymous"] = true;
    auto chat = make_route("chat", "streaming", "model");
    chat["resumable"] = true;
    json routes = {order, make_route("look", "safe", "shop"), open, chat,
                   make_route("once", "streaming", "model")};
    for (const auto& name : more_routes) {
        routes.push_back(make_route(name, "safe", "shop"));
    }
    const json config = {
        {"version", version},
        {"routes", routes},
        {"services", {{{"name", "shop"}, {"maxConns", 50}}, {{"name", "model"}, {"maxConns", 50}}}},
        {"limits",
         {{"maxHeaderBytes", 4096},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 1000},
          {"idleTimeoutMs", 9000}}},
        {"tenants", tenants}};
    store_.put("op/config", config.dump());
}

std::string relay_cluster::settings_of(const relay_process& node) const {
    return "[node]\nid = \"n-" + node.ip + "\"\nfailure_domain = \"z\"\n" + node_settings_ +
           "[listen]\ncallers = \"" + node.callers + "\"\nreadiness = \"" + node.readiness +
           "\"\ndirectory = \"" + node.directory + "\"\npeers = \"" + node.ip + ":" +
           std::to_string(ports_[3]) + "\"\nmetrics = \"" + node.metrics +
           "\"\n[peers]\nseeds = \"127.0.1.1:1\"\n[store]\naddress = \"" + node.store +
           "\"\n[bounds]\nrevocation_ms = " + std::to_string(revocation_.count()) +
           "\ngrace_s = 6\nrepeat_ratio = 0.9\nrepeat_slack = 50\n";
}

std::string relay_cluster::settings_file(const relay_process& node) const {
    return directory_.path() + "/" + node.ip + ".toml";
}

void relay_cluster::write_settings(const relay_process& node, const std::string& text) {
    write_file(settings_file(node), text);
}

relay_process& relay_cluster::launch_node(const std::string& store) {
    auto node = std::make_unique<relay_process>();
    node->store = store.empty() ? store_.address() : store;
    node->ip = "127.0.1." + std::to_string(nodes_.size() + 1);
    const auto listen_address = [&](int port) {
        return node->ip + ":" + std::to_string(ports_[std::size_t(port)]);
    };
    node->callers = listen_address(0);
    node->readiness = listen_address(1);
    node->directory = listen_address(2);
    node->metrics = listen_address(4);
    write_file(settings_file(*node), settings_of(*node));
    relaunch(*node);
    nodes_.push_back(std::move(node));
    return *nodes_.back();
}

void relay_cluster::relaunch(relay_process& node) {
    const std::vector<std::string> arguments{"--settings", settings_file(node)};
    // Each launch has its own output files, so that a test reads only what the current process wrote.
    const auto name = node.ip + (node.launches == 0 ? "" : "-" + std::to_string(node.launches + 1));
    node.process = std::make_unique<child_process>(std::string(FIGSPOKE_PLATFORM_PROGRAM), arguments,
                                                   directory_.path(), name);
    ++node.launches;
}

relay_process& relay_cluster::start_node() {
    auto& node = launch_node();
    const auto ready_or_exited = [&] { return is_ready(node) || node.process->exit_code().has_value(); };
    if (!wait_until(ready_or_exited) || !is_ready(node)) {
        throw std::runtime_error("the node did not become ready: " + node.process->output() +
                                 node.process->errors());
    }
    return node;
}

http_answer relay_cluster::send(const relay_process& node, const std::string& path, const std::string& id,
                                const std::string& body, const std::string& key,
                                const adapters::http_headers& headers) {
    adapters::http_call call;
    call.address = node.callers;
    call.method = "POST";
    call.target = path;
    call.body = body;
    call.headers = {{"host", "h"}, {"x-request-id", id}, {"x-deadline-ms", "8000"}};
    if (!key.empty()) {
        call.headers["api-key"] = key;
    }
    call.headers.insert(headers.begin(), headers.end());
    return http_send(call);
}

std::vector<std::string> relay_cluster::look_up(const relay_process& node) {
    const auto answer = http_get(node.directory, "/lookup?name=h&region=r&zone=z");
    if (answer.status != 200) {
        return {};
    }
    return json_of(answer).at("addresses").get<std::vector<std::string>>();
}

bool relay_cluster::is_ready(const relay_process& node) {
    return http_get(node.readiness, "/ready").status == 200;
}

} // namespace figspoke::test
