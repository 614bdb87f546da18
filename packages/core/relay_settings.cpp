#include "core/relay_settings.h"

#include <optional>
#include <set>

#include <toml++/toml.h>

#include "core/schema.h"
#include "core/section_reader.h"

namespace figspoke::core {
namespace {

const std::set<std::string> known_sections = {"node",      "regions", "listen", "peers",
                                              "placement", "store",   "bounds", "log"};

void read_places(const toml::table& root, relay_settings& into, std::optional<error>& first) {
    section_reader node(root, "node", first);
    node.required_text("id", into.node_id);
    node.required_text("failure_domain", into.failure_domain);
    node.text("region", into.region);
    node.integer("memory_mb", 16, 1 << 20, into.memory_mb);
    node.integer("descriptors", 64, 1 << 20, into.descriptors);
    section_reader listen(root, "listen", first);
    listen.required_text("callers", into.listen.callers);
    listen.required_text("readiness", into.listen.readiness);
    listen.required_text("directory", into.listen.directory);
    listen.required_text("peers", into.listen.peers);
    listen.text("metrics", into.listen.metrics);
    section_reader peers(root, "peers", first);
    std::string seeds;
    peers.text("seeds", seeds);
    into.seeds = split_list(seeds, ',');
    section_reader store(root, "store", first);
    store.required_text("address", into.store_address);
}

// The keys are the names of the failure domains.
void read_regions(const toml::table& root, std::map<std::string, std::string>& into,
                  std::optional<error>& first) {
    section_reader reader(root, "regions", first);
    const auto* section = root["regions"].as_table();
    if (section == nullptr) {
        return;
    }
    for (const auto& [domain, region] : *section) {
        reader.text(std::string(domain.str()), into[std::string(domain.str())]);
    }
}

void read_placement(const toml::table& root, relay_placement& into, std::optional<error>& first) {
    section_reader reader(root, "placement", first);
    reader.flag("learned_speeds", into.learned_speeds);
    reader.flag("stated_loads", into.stated_loads);
    reader.flag("paces", into.paces);
    reader.flag("memory_grants", into.memory_grants);
}

void read_bounds(const toml::table& root, relay_bounds& into, std::optional<error>& first) {
    constexpr double most_seconds = 3600;
    constexpr std::int64_t most_ms = 3600 * 1000;
    section_reader reader(root, "bounds", first);
    reader.duration("revocation_ms", 100, most_ms, into.revocation);
    reader.duration("change_ms", 100, most_ms, into.change);
    reader.fractional_seconds("grace_s", 1, most_seconds, into.grace);
    reader.fractional_seconds("entry_validity_s", 0.1, most_seconds, into.entry_validity);
    reader.fractional_seconds("session_s", 0, most_seconds, into.session);
    reader.number("repeat_ratio", 0, 100, into.repeat_ratio);
    reader.number("repeat_slack", 0, 1e6, into.repeat_slack);
    reader.fractional_seconds("repeat_window_s", 0.1, most_seconds, into.repeat_window);
    reader.number("exposure_share", 0, 1, into.exposure_share);
    reader.number("cold_ratio", 0, 100, into.cold_ratio);
    reader.number("cold_slack", 0, 1e6, into.cold_slack);
    reader.duration("evacuation_ms", 100, most_ms, into.evacuation);
    reader.duration("drain_ms", 100, most_ms, into.drain);
}

} // namespace

result<relay_settings> parse_relay_settings(std::string_view text) {
    relay_settings parsed;
    const auto read = [&](const toml::table& root, std::optional<error>& first) {
        read_places(root, parsed, first);
        read_regions(root, parsed.regions, first);
        read_bounds(root, parsed.bounds, first);
        read_placement(root, parsed.placement, first);
        section_reader log(root, "log", first);
        log.choice("level", {"debug", "info", "warn", "error"}, parsed.log_level);
    };
    if (auto done = parse_sections(text, known_sections, read); !done) {
        return tl::make_unexpected(done.error());
    }
    return parsed;
}

result<relay_settings> load_relay_settings(const std::string& path) {
    const auto text = read_settings_file(path);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    return parse_relay_settings(*text);
}

} // namespace figspoke::core
