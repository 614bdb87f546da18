#include "support/process/fleet_config.h"

#include <sstream>

#include "core/hash.h"

namespace figspoke::test {
namespace {

using columns = std::map<std::string, std::string>;

void add_row(core::table& table, const std::string& kind, const std::string& name, const columns& values) {
    const core::row_key key{kind, name};
    table.rows[key] = core::row{key, table.revision, values};
}

std::string join(const std::vector<std::string>& items) {
    std::string joined;
    for (const auto& item : items) {
        joined += (joined.empty() ? "" : ";") + item;
    }
    return joined;
}

void add_upstream(core::table& table, const upstream_row& row) {
    add_row(table, "upstream", row.name,
            {{"address", row.address},
             {"failure_domain", row.failure_domain},
             {"versions", join(row.versions)},
             {"services", join(row.services)},
             {"checks_fencing", "yes"}});
    for (const auto& version : row.versions) {
        add_row(table, "version", version,
                {{"price_in", "100"}, {"price_out", "400"}, {"quality", "0.9"}, {"first_token_ms", "20"}});
    }
    for (const auto& service : row.services) {
        const bool order = service.find("order") != std::string::npos;
        add_row(table, "service", service, {{"idempotent", order ? "no" : "yes"}, {"price", "1000"}});
    }
}

} // namespace

core::table first_table(const std::vector<upstream_row>& upstreams, const std::string& api_key) {
    core::table table;
    table.revision = 1;
    std::vector<std::string> versions;
    for (const auto& row : upstreams) {
        add_upstream(table, row);
        versions.insert(versions.end(), row.versions.begin(), row.versions.end());
    }
    add_row(table, "account", "tester",
            {{"key_sha256", core::sha256_hex(api_key)},
             {"max_priority", "urgent"},
             {"allowed", versions.empty() ? "none" : join(versions)}});
    add_row(table, "priority", "urgent", {{"first_token_ms", "460"}, {"floor", "0.7"}});
    add_row(table, "priority", "normal", {{"first_token_ms", "5000"}, {"floor", "0.2"}});
    add_row(table, "priority", "batch", {{"first_token_ms", "60000"}, {"floor", "0.1"}});
    return table;
}

std::string settings_text(const node_settings& settings) {
    std::ostringstream text;
    std::string seeds;
    for (std::size_t i = 0; i < settings.mesh_ports.size(); ++i) {
        if (i != settings.index) {
            seeds += (seeds.empty() ? "" : ", ");
            seeds += "\"127.0.0.1:" + std::to_string(settings.mesh_ports[i]) + "\"";
        }
    }
    text << "[node]\nid = \"" << settings.id << "\"\nfailure_domain = \"" << settings.failure_domain
         << "\"\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\nport_file = \""
         << port_file_of(settings.directory, settings.id) << "\"\nthreads = " << settings.threads
         << "\n\n[mesh]\nlisten = \"127.0.0.1:" << settings.mesh_ports.at(settings.index)
         << "\"\nsecret_file = \"" << settings.directory << "/mesh_secret\"\nseeds = [" << seeds
         << "]\n\n[platform]\nkv = \"" << settings.kv << "\"\nvms = \"" << settings.platform
         << "\"\nweights = \"" << settings.platform << "\"\nratings = \"" << settings.platform
         << "\"\n\n[secrets]\ntoken_key_file = \"" << settings.directory
         << "/token_key\"\n\n[log]\nfile = \"\"\nlevel = \"info\"\n\n"
         << settings.more;
    return text.str();
}

std::string port_file_of(const std::string& directory, const std::string& name) {
    return directory + "/" + name + ".port";
}

} // namespace figspoke::test
