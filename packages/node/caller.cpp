#include "node/caller.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "core/hash.h"

namespace figspoke::node {
namespace {

using adapters::header_or_empty;
using core::error_kind;
using core::fail;

constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_token_bytes = 1024;
constexpr std::size_t max_task_bytes = 40;
constexpr long max_deadline_ms = 3600 * 1000;

core::result<core::client_account> authenticate(const adapters::http_request& request,
                                                const core::config_snapshot& config) {
    const std::string header = header_or_empty(request.headers, "authorization");
    const std::string scheme = "Bearer ";
    if (header.compare(0, scheme.size(), scheme) != 0) {
        return fail(error_kind::unauthorized, "header Authorization is not \"Bearer KEY\"");
    }
    const std::string digest = core::sha256_hex(header.substr(scheme.size()));
    const core::client_account* found = nullptr;
    for (const auto& [name, account] : config.accounts) {
        if (core::constant_time_equal(digest, account.key_sha256)) {
            found = &account;
        }
    }
    if (found == nullptr) {
        return fail(error_kind::unauthorized, "the API key belongs to no client account");
    }
    return *found;
}

// Header values end up in log lines and in keys of the journal.
bool is_printable(const std::string& text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isprint(c) != 0; });
}

core::result<std::string> read_text(const adapters::http_request& request, const std::string& name,
                                    std::size_t max_bytes) {
    std::string value = header_or_empty(request.headers, name);
    if (value.size() > max_bytes || !is_printable(value)) {
        return fail(error_kind::bad_request, "header " + name + " is longer than " +
                                                 std::to_string(max_bytes) +
                                                 " bytes or has characters that can't be printed");
    }
    return value;
}

core::result<void> read_priority(const adapters::http_request& request, caller& into) {
    const std::string name = header_or_empty(request.headers, "x-figspoke-priority");
    if (name.empty()) {
        into.priority = std::max(core::priority::normal, into.account.max_priority);
        return {};
    }
    const auto parsed = core::parse_priority(name);
    if (!parsed) {
        return fail(error_kind::bad_request, "header X-Figspoke-Priority has the value \"" + name +
                                                 "\"; accepted is one of urgent, normal, batch");
    }
    if (*parsed < into.account.max_priority) {
        return fail(error_kind::not_allowed,
                    "client account " + into.account.name + " may not use priority " + name);
    }
    into.priority = *parsed;
    return {};
}

core::result<void> read_quality(const adapters::http_request& request, caller& into) {
    into.quality = into.account.quality;
    const std::string text = header_or_empty(request.headers, "x-figspoke-quality");
    if (text.empty()) {
        return {};
    }
    char* end = nullptr;
    into.quality = std::strtod(text.c_str(), &end);
    if (*end != '\0' || !(into.quality >= 0 && into.quality <= 1)) {
        return fail(error_kind::bad_request, "header X-Figspoke-Quality has the value \"" + text +
                                                 "\"; accepted is a number from 0 to 1");
    }
    return {};
}

core::result<void> read_deadline(const adapters::http_request& request, caller& into) {
    const std::string text = header_or_empty(request.headers, "x-figspoke-deadline-ms");
    if (text.empty()) {
        return {};
    }
    char* end = nullptr;
    const long value = std::strtol(text.c_str(), &end, 10);
    if (*end != '\0' || value < 1 || value > max_deadline_ms) {
        return fail(error_kind::bad_request, "header X-Figspoke-Deadline-Ms has the value \"" + text +
                                                 "\"; accepted is a whole number from 1 to 3600000");
    }
    into.deadline = std::chrono::milliseconds(value);
    return {};
}

core::result<void> read_texts(const adapters::http_request& request, caller& into) {
    auto key = read_text(request, "idempotency-key", max_key_bytes);
    auto token = read_text(request, "x-figspoke-conversation", max_token_bytes);
    auto task = read_text(request, "x-figspoke-task", max_task_bytes);
    for (const auto* value : {&key, &token, &task}) {
        if (!*value) {
            return tl::make_unexpected(value->error());
        }
    }
    into.idempotency_key = std::move(*key);
    into.conversation_token = std::move(*token);
    if (!task->empty()) {
        into.task = std::move(*task);
    }
    return {};
}

} // namespace

core::result<caller> read_caller(const adapters::http_request& request, const core::config_snapshot& config,
                                 std::chrono::milliseconds default_deadline, core::steady_time now) {
    auto account = authenticate(request, config);
    if (!account) {
        return tl::make_unexpected(account.error());
    }
    caller parsed;
    parsed.account = std::move(*account);
    parsed.deadline = default_deadline;
    for (const auto& read : {read_priority, read_quality, read_deadline, read_texts}) {
        if (auto done = read(request, parsed); !done) {
            return tl::make_unexpected(done.error());
        }
    }
    parsed.expires_at = now + parsed.deadline;
    parsed.request_id = core::random_hex(12);
    return parsed;
}

} // namespace figspoke::node
