#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"

namespace figspoke::relay {

/// Header fields in the order of the message, names as they were sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of a header, whatever the case of its name, or null.
const std::string* find_header(const header_list& headers, std::string_view name);

/// Compares two header names.
bool same_header(std::string_view a, std::string_view b);

/// The head of a caller's request.
struct request_head {
    std::string method;
    /// Path and query as they were sent.
    std::string target;
    header_list headers;
    bool keep_alive = true;
};

/// A part of a prompt that other requests may share.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;
};

/// What the headers of a request say.
struct caller_request {
    /// Identifies one attempt of a caller. Empty where it is absent or not usable.
    std::string request_id;
    std::string host;
    std::string api_key;
    /// How long the caller waits.
    std::optional<core::milliseconds> deadline;
    std::string model;
    /// Whether the caller leaves the choice of the model to the relay.
    bool any_model = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// The caller's rough estimate of the tokens to be generated.
    std::optional<std::int64_t> expected_tokens;
    /// Parts of the prompt in order; the last belongs to the request or its conversation.
    std::vector<prompt_part> prompt;
    std::optional<std::uint64_t> last_event_id;
    /// Conversation that the request belongs to.
    std::string session;
};

/// What a send to an upstream says besides the caller's own headers.
struct upstream_send {
    /// The only upstream that may run the request.
    std::string upstream;
    std::string account;
    core::milliseconds time_left{0};
    /// Replaces the caller's model where it isn't empty.
    std::string model;
    std::optional<std::uint64_t> last_event_id;
    int rank = 0;
};

/// What the head of an upstream's answer says.
struct answer_head {
    int status = 0;
    header_list headers;
    /// Id of the request that the answer belongs to.
    std::string request_id;
    /// The upstream did not run the request.
    bool not_run = false;
    /// The upstream at this address is another one.
    bool wrong_upstream = false;
    /// How long the upstream keeps an idle connection.
    std::optional<core::seconds> idle_timeout;
    /// The model's opinion of its answer, 0 to 100.
    std::optional<int> confidence;
    bool keep_alive = true;
};

/// The port to the protocol of callers and upstreams: header names and what they mean.
struct wire_protocol {
    std::function<caller_request(const request_head&)> read_request;
    /// Returns the headers for an upstream, without those of the connection and of the body's length.
    std::function<header_list(const request_head&, const upstream_send&)> write_send;
    /// Fills in the meaning of an answer whose status and headers are set.
    std::function<void(answer_head&)> read_answer;
};

/// Returns the headers without those that concern one connection or the framing of the body.
header_list without_hop_headers(const header_list& headers);

} // namespace figspoke::relay
