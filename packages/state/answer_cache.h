#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/time.h"

namespace figspoke::state {

/// Limits on the finished answers that a cache keeps.
struct answer_limits {
    /// Time for which a finished answer is kept.
    std::chrono::milliseconds retention{std::chrono::seconds{60}};
    /// Largest total size of the finished answers.
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
};

/// A request whose answer is in flight, or finished if `bytes` is set.
struct cached_answer {
    std::string body_sha256;
    std::string request_id;
    /// The complete answer, including status and headers.
    std::shared_ptr<const std::string> bytes;
    core::steady_time finished_at;
};

/// Answers that are in flight or recently finished, keyed by `idempotency_id`.
struct answer_cache {
    answer_limits limits;
    std::map<std::string, cached_answer> answers;
    /// The ids of finished answers, oldest first.
    std::deque<std::string> finished;
    /// Total size of the finished answers.
    std::size_t bytes = 0;
};

enum class answer_state {
    /// The id was unknown; the caller runs the request, which now counts as in flight, and must then call
    /// `finish_answer` or `abandon_answer`.
    registered,
    in_flight,
    finished,
    /// The id belongs to a request with another body.
    key_reused,
};

/// Result of `begin_answer`.
struct answer_lookup {
    answer_state state = answer_state::registered;
    /// The request that produces or produced the answer.
    std::string request_id;
    /// Set if `state` is `finished`.
    std::shared_ptr<const std::string> bytes;
};

/// Looks up the answer of a request; if the id is unknown, registers the request as in flight.
answer_lookup begin_answer(answer_cache& cache, const std::string& id, const std::string& body_sha256,
                           const std::string& request_id, core::steady_time now);

/// Stores the answer of a request in flight, evicting the oldest finished answers to make room. An answer
/// larger than `max_bytes` is not stored and its request is removed.
void finish_answer(answer_cache& cache, const std::string& id, std::string bytes, core::steady_time now);

/// Removes a request in flight that failed, so that a repeat runs the request again.
void abandon_answer(answer_cache& cache, const std::string& id);

/// Removes finished answers that are older than the retention time.
void expire_answers(answer_cache& cache, core::steady_time now);

} // namespace figspoke::state
