#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/table.h"

namespace figspoke::core {

/// The three classes of work, most urgent first.
enum class priority { urgent, normal, batch };

inline constexpr std::size_t priority_count = 3;

/// Returns `urgent`, `normal` or `batch`.
std::string_view to_string(priority value);

/// Parses a priority's name; empty where it is none.
std::optional<priority> parse_priority(std::string_view name);

enum class version_state { active, retiring, withdrawn };

/// A client account: what it may use and how much.
struct client_account {
    std::string name;
    /// SHA-256 of the account's API key, in lower-case hexadecimal.
    std::string key_sha256;
    /// Share relative to other accounts of the same priority.
    double weight = 1;
    priority max_priority = priority::normal;
    /// Default quality target: the least expected pass rate of an answer, 0 to 1.
    double quality = 0.8;
    /// Fleet-wide limit in tokens a second; 0 means unlimited.
    std::int64_t tokens_per_s = 0;
    /// Fleet-wide limit in millionths of the currency unit a day; 0 means unlimited.
    std::int64_t spend_micros_per_day = 0;
    /// Models (`name`) and versions (`name@version`) that the account may use.
    std::vector<std::string> allowed;
};

/// One version of a model, named `model@version`.
struct model_version {
    std::string id;
    std::string model;
    version_state state = version_state::active;
    /// Share of the model's new conversations, in percent.
    double rollout_percent = 100;
    /// Price of 1,000 prompt tokens and of 1,000 generated tokens, in millionths of the currency unit.
    std::int64_t price_in = 0;
    std::int64_t price_out = 0;
    /// Prior of the pass rate, before any rating is known.
    double quality = 0.5;
    /// Decoding speed of one stream, tokens a second.
    double tokens_per_s = 40;
    std::chrono::milliseconds first_token{200};
};

/// A process that does the work: a model engine or a plain service.
struct upstream {
    std::string name;
    /// `IP:port`.
    std::string address;
    std::string failure_domain;
    std::vector<std::string> versions;
    std::vector<std::string> services;
    /// Requests that run at once.
    int slots = 8;
    /// Whether it refuses a placement order with an old fencing number.
    bool checks_fencing = false;
};

/// A plain service behind `/v1/orders/` (not idempotent) or `/v1/services/` (idempotent).
struct service {
    std::string name;
    bool idempotent = false;
    /// Price of one call, in millionths of the currency unit.
    std::int64_t price = 0;
    std::chrono::milliseconds timeout{5000};
};

/// Targets of one priority.
struct priority_class {
    std::chrono::milliseconds first_token{2000};
    /// Least share of capacity while other priorities flood, 0 to 1.
    double floor = 0;
    int queue_limit = 200;
};

/// The configuration table in typed form, immutable once built.
struct config_snapshot {
    std::uint64_t revision = 0;
    std::map<std::string, client_account> accounts;
    std::map<std::string, model_version> versions;
    std::map<std::string, upstream> upstreams;
    std::map<std::string, service> services;
    std::array<priority_class, priority_count> priorities;
};

/// Builds the typed configuration; fails with `bad_request` at the first row that breaks its schema.
result<config_snapshot> build_snapshot(const table& source);

/// Tells whether the account's allowed list names the version or its model.
bool is_allowed(const client_account& account, const model_version& version);

} // namespace figspoke::core
