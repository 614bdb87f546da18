#include "core/config.h"

#include <algorithm>
#include <cstdlib>

#include "core/schema.h"

namespace figspoke::core {
namespace {

constexpr std::array<std::string_view, priority_count> priority_names = {"urgent", "normal", "batch"};

// Defaults of the priorities that the table has no row for.
constexpr std::array<double, priority_count> default_floors = {0.0, 0.20, 0.10};

double number(const row& source, std::string_view column) {
    return std::strtod(column_or_default(source, column).c_str(), nullptr);
}

std::int64_t integer(const row& source, std::string_view column) {
    return std::strtoll(column_or_default(source, column).c_str(), nullptr, 10);
}

std::chrono::milliseconds millis(const row& source, std::string_view column) {
    return std::chrono::milliseconds(integer(source, column));
}

version_state parse_state(std::string_view name) {
    if (name == "withdrawn") {
        return version_state::withdrawn;
    }
    return name == "retiring" ? version_state::retiring : version_state::active;
}

client_account read_account(const row& source) {
    client_account account;
    account.name = source.key.name;
    account.key_sha256 = column_or_default(source, "key_sha256");
    account.weight = number(source, "weight");
    account.max_priority =
        parse_priority(column_or_default(source, "max_priority")).value_or(priority::normal);
    account.quality = number(source, "quality");
    account.tokens_per_s = integer(source, "tokens_per_s");
    account.spend_micros_per_day = integer(source, "spend_micros_per_day");
    account.allowed = split_list(column_or_default(source, "allowed"));
    return account;
}

model_version read_version(const row& source) {
    model_version version;
    version.id = source.key.name;
    version.model = source.key.name.substr(0, source.key.name.find('@'));
    version.state = parse_state(column_or_default(source, "state"));
    version.rollout_percent = number(source, "rollout_percent");
    version.price_in = integer(source, "price_in");
    version.price_out = integer(source, "price_out");
    version.quality = number(source, "quality");
    version.tokens_per_s = number(source, "tokens_per_s");
    version.first_token = millis(source, "first_token_ms");
    return version;
}

upstream read_upstream(const row& source) {
    upstream value;
    value.name = source.key.name;
    value.address = column_or_default(source, "address");
    value.failure_domain = column_or_default(source, "failure_domain");
    value.versions = split_list(column_or_default(source, "versions"));
    value.services = split_list(column_or_default(source, "services"));
    value.slots = static_cast<int>(integer(source, "slots"));
    value.checks_fencing = column_or_default(source, "checks_fencing") == "yes";
    return value;
}

service read_service(const row& source) {
    service value;
    value.name = source.key.name;
    value.idempotent = column_or_default(source, "idempotent") == "yes";
    value.price = integer(source, "price");
    value.timeout = millis(source, "timeout_ms");
    return value;
}

void read_priority(const row& source, config_snapshot& into) {
    const auto which = parse_priority(source.key.name);
    if (!which) {
        return;
    }
    auto& value = into.priorities.at(static_cast<std::size_t>(*which));
    value.first_token = millis(source, "first_token_ms");
    value.floor = number(source, "floor");
    value.queue_limit = static_cast<int>(integer(source, "queue_limit"));
}

void read_row(const row& source, config_snapshot& into) {
    const auto& name = source.key.name;
    if (source.key.kind == "account") {
        into.accounts.emplace(name, read_account(source));
    } else if (source.key.kind == "version") {
        into.versions.emplace(name, read_version(source));
    } else if (source.key.kind == "upstream") {
        into.upstreams.emplace(name, read_upstream(source));
    } else if (source.key.kind == "service") {
        into.services.emplace(name, read_service(source));
    } else if (source.key.kind == "priority") {
        read_priority(source, into);
    }
}

} // namespace

std::string_view to_string(priority value) {
    return priority_names.at(static_cast<std::size_t>(value));
}

std::optional<priority> parse_priority(std::string_view name) {
    const auto found = std::find(priority_names.begin(), priority_names.end(), name);
    if (found == priority_names.end()) {
        return std::nullopt;
    }
    return static_cast<priority>(found - priority_names.begin());
}

result<config_snapshot> build_snapshot(const table& source) {
    config_snapshot snapshot;
    snapshot.revision = source.revision;
    for (std::size_t i = 0; i < priority_count; ++i) {
        snapshot.priorities.at(i).floor = default_floors.at(i);
    }
    for (const auto& [key, value] : source.rows) {
        if (auto checked = check_row(value); !checked) {
            return tl::make_unexpected(checked.error());
        }
        read_row(value, snapshot);
    }
    return snapshot;
}

bool is_allowed(const client_account& account, const model_version& version) {
    return std::any_of(account.allowed.begin(), account.allowed.end(),
                       [&](const std::string& name) { return name == version.id || name == version.model; });
}

} // namespace figspoke::core
