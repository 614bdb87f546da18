#include "support/process/fleet.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

#include "core/hash.h"
#include "support/process/fleet_config.h"

namespace figspoke::test {
namespace {

using nlohmann::json;

constexpr const char* table_path = "/kv/figspoke/table";

std::string join_versions(const std::vector<std::string>& versions) {
    std::string joined;
    for (const auto& version : versions) {
        joined += (joined.empty() ? "" : ",") + version;
    }
    return joined;
}

http_answer put_table(const std::string& kv, const core::table& table, const std::string& expect) {
    adapters::http_call call;
    call.address = kv;
    call.method = "PUT";
    call.target = std::string(table_path) + "?expect=" + expect;
    call.body = core::encode_table(table);
    return http_send(call);
}

core::table decode(const std::string& body) {
    auto table = core::decode_table(body);
    if (!table) {
        throw std::runtime_error("table in the key-value service is malformed: " + table.error().message);
    }
    return *table;
}

} // namespace

fleet::fleet(fleet_spec spec) : spec_(std::move(spec)) {
    write_file(directory_.path() + "/mesh_secret", core::random_hex(32));
    write_file(directory_.path() + "/token_key", core::random_hex(32));
    start_platform();
    start_upstreams();
    start_nodes();
}

std::string fleet::domain_of(int index) const {
    return "fd" + std::to_string(index % std::max(1, spec_.failure_domains));
}

void fleet::start_platform() {
    const auto& path = directory_.path();
    const auto kv_file = port_file_of(path, "kv");
    const auto platform_file = port_file_of(path, "platform");
    kv_process_ = std::make_unique<child_process>(
        program_path("standins/standin_kv"), std::vector<std::string>{"--port_file=" + kv_file}, path, "kv");
    auto flags = spec_.platform_flags;
    flags.push_back("--port_file=" + platform_file);
    platform_process_ =
        std::make_unique<child_process>(program_path("standins/standin_platform"), flags, path, "platform");
    kv_address_ = wait_for_address(*kv_process_, kv_file);
    platform_address_ = wait_for_address(*platform_process_, platform_file);
}

void fleet::run_upstream(const upstream_spec& spec, int port) {
    const auto port_file = port_file_of(directory_.path(), spec.name);
    std::remove(port_file.c_str());
    auto flags = spec.flags;
    flags.insert(flags.begin(), {"--name=" + spec.name, "--versions=" + join_versions(spec.versions),
                                 "--port=" + std::to_string(port), "--port_file=" + port_file});
    auto& entry = upstreams_[spec.name];
    entry.process.reset();
    entry.process = std::make_unique<child_process>(program_path("standins/standin_upstream"), flags,
                                                    directory_.path(), spec.name);
    entry.address = wait_for_address(*entry.process, port_file);
}

void fleet::start_upstreams() {
    std::vector<upstream_row> rows;
    int index = 0;
    for (const auto& spec : spec_.upstreams) {
        run_upstream(spec, 0);
        auto& entry = upstreams_[spec.name];
        entry.name = spec.name;
        entry.failure_domain = domain_of(index++);
        rows.push_back({spec.name, entry.address, entry.failure_domain, spec.versions, spec.services});
    }
    auto table = first_table(rows, test_api_key);
    if (spec_.edit_table) {
        spec_.edit_table(table);
    }
    const auto stored = put_table(kv_address_, table, "0");
    if (stored.status != 200) {
        throw std::runtime_error("first table was not stored: " + stored.body + stored.failure);
    }
}

void fleet::start_nodes() {
    const auto ports = pick_free_ports(spec_.nodes);
    for (int i = 0; i < spec_.nodes; ++i) {
        member entry;
        entry.name = "node" + std::to_string(i);
        entry.failure_domain = domain_of(i);
        const node_settings settings{entry.name,
                                     entry.failure_domain,
                                     directory_.path(),
                                     spec_.node_threads,
                                     ports,
                                     static_cast<std::size_t>(i),
                                     kv_address_,
                                     platform_address_,
                                     spec_.more_settings};
        write_file(directory_.path() + "/" + entry.name + ".toml", settings_text(settings));
        nodes_.push_back(std::move(entry));
        start_node(i);
    }
    for (int i = 0; i < spec_.nodes; ++i) {
        if (!wait_until_ready(i)) {
            throw std::runtime_error("node" + std::to_string(i) +
                                     " is not ready: " + node_process(i).output() + node_process(i).errors());
        }
    }
    publish_vms();
}

void fleet::start_node(int index) {
    auto& entry = nodes_.at(static_cast<std::size_t>(index));
    const auto port_file = port_file_of(directory_.path(), entry.name);
    entry.process.reset();
    std::remove(port_file.c_str());
    entry.process = std::make_unique<child_process>(
        program_path("node/figspoked"),
        std::vector<std::string>{"--settings", directory_.path() + "/" + entry.name + ".toml"},
        directory_.path(), entry.name);
    entry.address = wait_for_address(*entry.process, port_file);
}

void fleet::start_upstream(const std::string& name) {
    const auto spec = std::find_if(spec_.upstreams.begin(), spec_.upstreams.end(),
                                   [&](const upstream_spec& candidate) { return candidate.name == name; });
    const auto& address = upstreams_.at(name).address;
    run_upstream(*spec, std::atoi(address.c_str() + address.rfind(':') + 1));
}

bool fleet::wait_until_ready(int index, std::chrono::milliseconds timeout) {
    return wait_until([&] { return http_get(node(index), "/readyz").status == 200; }, timeout);
}

void fleet::publish_vms(const std::vector<std::string>& leaving) {
    json vms = json::array();
    const auto add = [&](const member& entry) {
        const bool leaves = std::count(leaving.begin(), leaving.end(), entry.name) > 0;
        vms.push_back({{"id", entry.name},
                       {"address", entry.address},
                       {"failure_domain", entry.failure_domain},
                       {"state", leaves ? "leaving" : "live"}});
    };
    std::for_each(nodes_.begin(), nodes_.end(), add);
    std::for_each(upstreams_.begin(), upstreams_.end(), [&](const auto& item) { add(item.second); });
    set_control(platform_address_, {{"vms", vms}});
}

core::table fleet::read_table() {
    return decode(http_get(kv_address_, table_path).body);
}

void fleet::change_table(const std::function<void(core::table&)>& change) {
    const auto try_once = [&] {
        const auto current = http_get(kv_address_, table_path);
        auto table = decode(current.body);
        table.revision += 1;
        change(table);
        return put_table(kv_address_, table, current.headers.at("x-version")).status == 200;
    };
    if (!wait_until(try_once)) {
        throw std::runtime_error("table change was not stored");
    }
}

std::vector<json> fleet::executions() {
    std::vector<json> all;
    for (auto& [name, entry] : upstreams_) {
        if (!entry.process->exit_code()) {
            const auto counts = get_counts(entry.address);
            all.insert(all.end(), counts.at("executions").begin(), counts.at("executions").end());
        }
    }
    return all;
}

http_answer fleet::chat(int node_index, const json& body, const adapters::http_headers& headers) {
    auto all = headers;
    all["Authorization"] = std::string("Bearer ") + test_api_key;
    all["Content-Type"] = "application/json";
    return http_post(node(node_index), "/v1/chat/completions", body.dump(), all);
}

} // namespace figspoke::test
