#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace figspoke::core {

/// Every reason for which a request can fail. The list is closed: `error_answer_for` maps each kind.
enum class error_kind {
    bad_request,
    unauthorized,
    not_allowed,
    not_found,
    payload_too_large,
    request_timeout,
    version_withdrawn,
    no_capacity,
    rate_limited,
    overloaded,
    deadline_unreachable,
    deadline_exceeded,
    key_reused,
    in_progress,
    outcome_unknown,
    upstream_refused,
    upstream_failed,
    stream_interrupted,
    store_unavailable,
    unsettled_limit,
    isolated,
    draining,
    crash_suspect,
    conflict,
    internal,
};

/// The number of error kinds.
inline constexpr int error_kind_count = static_cast<int>(error_kind::internal) + 1;

/// Whether the work of a failed request was done.
enum class execution { not_run, ran, unknown };

/// What a caller is told for an error kind.
struct error_answer {
    error_kind kind;
    std::string_view name;
    int http_status;
    core::execution execution;
    /// Time after which a caller may repeat the request; empty where repeating can't help.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// An error of one kind with a message that names the offending thing.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
    /// Overrides the retry time of the error table where the cause knows better.
    std::optional<std::chrono::milliseconds> retry_after;
};

template <class T>
using result = tl::expected<T, error>;

/// Returns the answer for an error kind, from the one table of error answers.
const error_answer& error_answer_for(error_kind kind);

/// Builds the unexpected value of a `result`.
tl::unexpected<error> fail(error_kind kind, std::string message);

/// Returns `not_run`, `ran` or `unknown`.
std::string_view to_string(execution value);

} // namespace figspoke::core
