#include "core/error.h"

#include <array>

namespace figspoke::core {
namespace {

using std::chrono::milliseconds;

constexpr std::nullopt_t no_retry = std::nullopt;

// Ordered as the enumeration. `not_run` stands only where no byte reached an upstream or the upstream
// itself refused the work.
constexpr std::array<error_answer, error_kind_count> answers = {{
    {error_kind::bad_request, "bad_request", 400, execution::not_run, no_retry},
    {error_kind::unauthorized, "unauthorized", 401, execution::not_run, no_retry},
    {error_kind::not_allowed, "not_allowed", 403, execution::not_run, no_retry},
    {error_kind::not_found, "not_found", 404, execution::not_run, no_retry},
    {error_kind::payload_too_large, "payload_too_large", 413, execution::not_run, no_retry},
    {error_kind::request_timeout, "request_timeout", 408, execution::not_run, milliseconds(0)},
    {error_kind::version_withdrawn, "version_withdrawn", 410, execution::not_run, no_retry},
    {error_kind::no_capacity, "no_capacity", 503, execution::not_run, milliseconds(1000)},
    {error_kind::rate_limited, "rate_limited", 429, execution::not_run, milliseconds(1000)},
    {error_kind::overloaded, "overloaded", 503, execution::not_run, milliseconds(500)},
    {error_kind::deadline_unreachable, "deadline_unreachable", 503, execution::not_run, milliseconds(500)},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504, execution::unknown, milliseconds(0)},
    {error_kind::key_reused, "key_reused", 422, execution::not_run, no_retry},
    {error_kind::in_progress, "in_progress", 409, execution::unknown, milliseconds(500)},
    {error_kind::outcome_unknown, "outcome_unknown", 409, execution::unknown, no_retry},
    {error_kind::upstream_refused, "upstream_refused", 503, execution::not_run, milliseconds(500)},
    {error_kind::upstream_failed, "upstream_failed", 502, execution::unknown, milliseconds(100)},
    {error_kind::stream_interrupted, "stream_interrupted", 502, execution::ran, milliseconds(100)},
    {error_kind::store_unavailable, "store_unavailable", 503, execution::not_run, milliseconds(1000)},
    {error_kind::unsettled_limit, "unsettled_limit", 503, execution::not_run, milliseconds(1000)},
    {error_kind::isolated, "isolated", 503, execution::not_run, milliseconds(0)},
    {error_kind::draining, "draining", 503, execution::not_run, milliseconds(0)},
    {error_kind::crash_suspect, "crash_suspect", 422, execution::not_run, no_retry},
    {error_kind::conflict, "conflict", 409, execution::not_run, no_retry},
    {error_kind::internal, "internal", 500, execution::unknown, no_retry},
}};

} // namespace

const error_answer& error_answer_for(error_kind kind) {
    return answers.at(static_cast<std::size_t>(kind));
}

tl::unexpected<error> fail(error_kind kind, std::string message) {
    return tl::make_unexpected(error{kind, std::move(message), std::nullopt});
}

std::string_view to_string(execution value) {
    switch (value) {
    case execution::not_run:
        return "not_run";
    case execution::ran:
        return "ran";
    case execution::unknown:
        break;
    }
    return "unknown";
}

} // namespace figspoke::core
