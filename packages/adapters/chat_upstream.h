#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/spawn.hpp>

#include "adapters/http_client.h"

namespace figspoke::adapters {

/// One chat exchange with a model engine.
struct chat_call {
    std::string address;
    std::string request_id;
    /// The caller's JSON body; the fields of the engine's protocol are set on a copy.
    std::string body;
    /// `model@version`.
    std::string version;
    std::int64_t max_tokens = 512;
    /// 0 is the most urgent.
    int priority = 0;
    /// Tokens that the caller already has; the engine continues after them.
    std::int64_t resume_from = 0;
    /// Whether the engine must run the request without others in its batch.
    bool alone = false;
    /// The longest silence between two tokens.
    std::chrono::milliseconds idle_timeout{30000};
};

enum class chat_end {
    /// The whole answer was read.
    complete,
    /// The engine refused before any work was done, or was never reached.
    not_run,
    /// The connection broke or the engine failed; work may have been done.
    broken,
    /// The token handler asked to stop.
    cancelled,
};

/// How a chat exchange ended.
struct chat_outcome {
    chat_end end = chat_end::broken;
    std::int64_t prompt_tokens = 0;
    /// Tokens received in this exchange.
    std::int64_t tokens = 0;
    /// HTTP status of the engine, or 0 where none was read.
    int status = 0;
    /// True where the connection closed in the middle: the engine may have crashed.
    bool connection_lost = false;
    bool timed_out = false;
    /// `stop` or `length`, from the engine.
    std::string finish_reason;
    std::string message;
};

/// Receives a token's text; returns false to cancel.
using token_handler = std::function<bool(std::string_view text)>;

/// Runs a chat exchange and passes each token on. The upstream always streams, so that tokens are counted
/// and a broken stream can resume.
chat_outcome run_chat(http_client& client, const chat_call& call, const token_handler& on_token,
                      const boost::asio::yield_context& yield);

} // namespace figspoke::adapters
