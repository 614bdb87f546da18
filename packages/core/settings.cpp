#include "core/settings.h"

#include <fstream>
#include <optional>
#include <set>

#include <toml++/toml.h>

#include "core/section_reader.h"

namespace figspoke::core {
namespace {

constexpr std::int64_t max_ms = 3600 * 1000;

void read_node(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader reader(root, "node", first);
    reader.required_text("id", into.node.id);
    reader.required_text("failure_domain", into.node.failure_domain);
    reader.required_text("listen", into.node.listen);
    reader.text("advertise", into.node.advertise);
    reader.text("port_file", into.node.port_file);
    reader.integer("threads", 1, 64, into.node.threads);
}

void read_mesh(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader reader(root, "mesh", first);
    reader.required_text("listen", into.mesh.listen);
    reader.required_text("secret_file", into.mesh.secret_file);
    reader.texts("seeds", into.mesh.seeds);
}

void read_platform(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader reader(root, "platform", first);
    reader.required_text("kv", into.platform.kv);
    reader.text("vms", into.platform.vms);
    reader.text("weights", into.platform.weights);
    reader.text("ratings", into.platform.ratings);
}

void read_journal(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader reader(root, "journal", first);
    reader.integer("shards", 1, 4096, into.journal.shards);
    reader.duration("charge_flush_ms", 1, 10000, into.journal.charge_flush);
    reader.integer("backlog_limit", 10, 100000, into.journal.backlog_limit);
    reader.duration("idempotency_window_s", 60, 7 * 86400, into.journal.idempotency_window);
    reader.integer("unsettled_limit", 1, 1000000, into.journal.unsettled_limit);
}

void read_policy(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader reader(root, "policy", first);
    reader.choice("plan", {"least_cost", "always_best", "always_cheapest", "fixed_cascade"},
                  into.policy.plan);
    reader.choice("admission", {"fair", "fifo"}, into.policy.admission);
    reader.choice("upstreams", {"bounded_load", "round_robin"}, into.policy.upstreams);
    reader.flag("early_stop", into.policy.early_stop);
    reader.choice("profile", {"low_latency", "dependable_drafts"}, into.policy.profile);
    reader.integer("upstreams_per_version", 1, 1000, into.policy.upstreams_per_version);
    reader.duration("default_deadline_ms", 1, max_ms, into.policy.default_deadline);
    reader.integer("seed", 0, INT64_MAX, into.policy.seed);
}

void read_limits(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader reader(root, "limits", first);
    reader.integer("body_bytes", 1024, 64 * 1024 * 1024, into.limits.body_bytes);
    reader.duration("request_timeout_ms", 100, max_ms, into.limits.request_timeout);
    reader.duration("idle_timeout_ms", 100, max_ms, into.limits.idle_timeout);
    reader.duration("write_timeout_ms", 100, max_ms, into.limits.write_timeout);
    reader.integer("connections", 1, 1000000, into.limits.connections);
    reader.integer("memory_mb", 16, 1 << 20, into.limits.memory_mb);
}

void read_rest(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader secrets(root, "secrets", first);
    secrets.required_text("token_key_file", into.token_key_file);
    section_reader log(root, "log", first);
    log.text("file", into.log.file);
    log.choice("level", {"debug", "info", "warn", "error"}, into.log.level);
}

const std::set<std::string> known_sections = {"node",   "mesh",   "platform", "journal",
                                              "policy", "limits", "secrets",  "log"};

} // namespace

result<settings> parse_settings(std::string_view text) {
    settings parsed;
    const auto read = [&](const toml::table& root, std::optional<error>& first) {
        read_node(root, parsed, first);
        read_mesh(root, parsed, first);
        read_platform(root, parsed, first);
        read_journal(root, parsed, first);
        read_policy(root, parsed, first);
        read_limits(root, parsed, first);
        read_rest(root, parsed, first);
    };
    if (auto done = parse_sections(text, known_sections, read); !done) {
        return tl::make_unexpected(done.error());
    }
    return parsed;
}

result<settings> load_settings(const std::string& path) {
    const auto text = read_settings_file(path);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    return parse_settings(*text);
}

result<std::string> read_secret(const std::string& path) {
    std::ifstream file(path);
    std::string secret;
    if (!file || !std::getline(file, secret) || secret.empty()) {
        return fail(error_kind::not_found, "secret file \"" + path + "\" is missing or empty");
    }
    return secret;
}

} // namespace figspoke::core
