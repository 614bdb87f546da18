#include "core/settings.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#include <toml++/toml.h>

namespace figspoke::core {
namespace {

std::string render(const toml::node& node) {
    std::ostringstream out;
    if (const auto* text = node.as_string()) {
        return "\"" + text->get() + "\"";
    }
    node.visit([&](const auto& value) {
        if constexpr (toml::is_value<decltype(value)>) {
            out << value;
        } else {
            out << "a table or array";
        }
    });
    return out.str();
}

// Reads one section key by key. The first error is kept, and every key that was asked for is remembered,
// so that a misspelt one can be named.
class section_reader {
  public:
    section_reader(const toml::table& root, std::string section, std::optional<error>& first_error)
        : section_(std::move(section)), table_(root[section_].as_table()), first_error_(first_error) {}

    ~section_reader() { report_unknown_keys(); }
    section_reader(const section_reader&) = delete;
    section_reader& operator=(const section_reader&) = delete;

    void text(const std::string& key, std::string& into) {
        const auto* node = find(key);
        if (node == nullptr) {
            return;
        }
        if (const auto* value = node->as_string()) {
            into = value->get();
        } else {
            refuse(key, render(*node), "text in quotes");
        }
    }

    void required_text(const std::string& key, std::string& into) {
        text(key, into);
        if (into.empty()) {
            refuse(key, "\"\"", "a text that is not empty");
        }
    }

    void integer(const std::string& key, std::int64_t min, std::int64_t max, std::int64_t& into) {
        const auto* node = find(key);
        if (node == nullptr) {
            return;
        }
        const auto* value = node->as_integer();
        if (value == nullptr || value->get() < min || value->get() > max) {
            refuse(key, render(*node),
                   "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
            return;
        }
        into = value->get();
    }

    template <class Duration>
    void duration(const std::string& key, std::int64_t min, std::int64_t max, Duration& into) {
        std::int64_t count = into.count();
        integer(key, min, max, count);
        into = Duration(count);
    }

    void choice(const std::string& key, const std::vector<std::string>& choices, std::string& into) {
        text(key, into);
        if (std::find(choices.begin(), choices.end(), into) == choices.end()) {
            std::string names;
            for (const auto& name : choices) {
                names += (names.empty() ? "" : ", ") + name;
            }
            refuse(key, "\"" + into + "\"", "one of " + names);
        }
    }

    void flag(const std::string& key, bool& into) {
        const auto* node = find(key);
        if (node == nullptr) {
            return;
        }
        if (const auto* value = node->as_boolean()) {
            into = value->get();
        } else {
            refuse(key, render(*node), "true or false");
        }
    }

    void texts(const std::string& key, std::vector<std::string>& into) {
        const auto* node = find(key);
        if (node == nullptr) {
            return;
        }
        const auto* values = node->as_array();
        if (values == nullptr || !values->is_homogeneous<std::string>()) {
            if (values == nullptr || !values->empty()) {
                refuse(key, render(*node), "an array of texts");
            }
            return;
        }
        for (const auto& value : *values) {
            into.push_back(value.as_string()->get());
        }
    }

  private:
    const toml::node* find(const std::string& key) {
        known_.insert(key);
        return table_ == nullptr ? nullptr : table_->get(key);
    }

    void refuse(const std::string& key, const std::string& value, const std::string& accepted) {
        if (!first_error_) {
            first_error_ = error{error_kind::bad_request,
                                 "setting " + section_ + "." + key + " has the value " + value +
                                     "; accepted is " + accepted,
                                 std::nullopt};
        }
    }

    void report_unknown_keys() {
        if (table_ == nullptr || first_error_) {
            return;
        }
        for (const auto& [key, value] : *table_) {
            const std::string name(key.str());
            if (known_.count(name) == 0) {
                first_error_ = error{error_kind::bad_request,
                                     "setting " + section_ + "." + name + " does not exist", std::nullopt};
                return;
            }
        }
    }

    std::string section_;
    const toml::table* table_;
    std::optional<error>& first_error_;
    std::set<std::string> known_;
};

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
}

void read_rest(const toml::table& root, settings& into, std::optional<error>& first) {
    section_reader secrets(root, "secrets", first);
    secrets.required_text("token_key_file", into.token_key_file);
    section_reader log(root, "log", first);
    log.text("file", into.log.file);
    log.choice("level", {"debug", "info", "warn", "error"}, into.log.level);
}

std::optional<error> find_unknown_section(const toml::table& root) {
    static const std::set<std::string> known = {"node",   "mesh",   "platform", "journal",
                                                "policy", "limits", "secrets",  "log"};
    for (const auto& [key, value] : root) {
        const std::string name(key.str());
        if (known.count(name) == 0) {
            return error{error_kind::bad_request, "settings section [" + name + "] does not exist",
                         std::nullopt};
        }
    }
    return std::nullopt;
}

} // namespace

result<settings> parse_settings(std::string_view text) {
    settings parsed;
    std::optional<error> first;
    try {
        const toml::table root = toml::parse(text);
        first = find_unknown_section(root);
        read_node(root, parsed, first);
        read_mesh(root, parsed, first);
        read_platform(root, parsed, first);
        read_journal(root, parsed, first);
        read_policy(root, parsed, first);
        read_limits(root, parsed, first);
        read_rest(root, parsed, first);
    } catch (const toml::parse_error& failure) {
        return fail(error_kind::bad_request, "settings line " + std::to_string(failure.source().begin.line) +
                                                 ": " + std::string(failure.description()));
    }
    if (first) {
        return tl::make_unexpected(*first);
    }
    return parsed;
}

result<settings> load_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return fail(error_kind::not_found, "settings file \"" + path + "\" can't be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
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
