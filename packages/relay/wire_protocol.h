#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "policy/upstream_load.h"

namespace figspoke::relay {

/// Header fields in message order, with the names as received.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name, ignoring case, or null.
const std::string* find_header(const header_list& headers, std::string_view name);

/// Returns whether two header names are equal, ignoring case.
bool same_header(std::string_view a, std::string_view b);

/// The head of a caller's request.
struct request_head {
    std::string method;
    /// Path and query as received.
    std::string target;
    header_list headers;
    bool keep_alive = true;
};

/// A segment of a prompt that other requests may share.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;
};

/// Values from the headers of a caller's request.
struct caller_request {
    /// Identifies an attempt of the caller. Empty if the header is absent or invalid.
    std::string request_id;
    std::string host;
    std::string api_key;
    /// Time that the caller waits for the answer.
    std::optional<core::milliseconds> deadline;
    std::string model;
    /// Whether the caller leaves the choice of the model to the relay.
    bool any_model = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
    /// The caller's rough estimate of the tokens to be generated.
    std::optional<std::int64_t> expected_tokens;
    /// Segments of the prompt in order; the last one is specific to the request or its conversation.
    std::vector<prompt_part> prompt;
    std::optional<std::uint64_t> last_event_id;
    /// Conversation that the request belongs to.
    std::string session;
};

/// Values for the headers that the relay adds to a request to an upstream.
struct upstream_send {
    /// The only upstream that may run the request.
    std::string upstream;
    std::string account;
    core::milliseconds time_left{0};
    /// Replaces the caller's model if not empty.
    std::string model;
    std::optional<std::uint64_t> last_event_id;
    int rank = 0;
};

/// Head of an upstream's answer.
struct answer_head {
    int status = 0;
    header_list headers;
    /// Id of the request that the answer belongs to.
    std::string request_id;
    /// The upstream did not run the request.
    bool not_run = false;
    /// Another upstream answered at this address.
    bool wrong_upstream = false;
    /// Time for which the upstream keeps an idle connection open.
    std::optional<core::seconds> idle_timeout;
    /// The model's confidence in its answer, 0 to 100.
    std::optional<int> confidence;
    /// Requests a second that the upstream takes from all nodes together, if it names a limit.
    std::optional<double> limit_per_second;
    /// The load that the upstream states.
    std::optional<policy::load_statement> load;
    /// How long the upstream stays cold: slow, and able to take only few requests a second.
    std::optional<core::milliseconds> cold_for;
    /// The upstream is leaving and should get no new requests.
    bool leaving = false;
    /// Time for which the upstream, with a refusal, asks this node for silence.
    std::optional<core::milliseconds> quiet_for;
    /// Number of fields of these kinds whose values can't be used. They are ignored.
    int unusable_fields = 0;
    bool keep_alive = true;
};

/// Functions that translate between headers and their values for callers and upstreams.
struct wire_protocol {
    std::function<caller_request(const request_head&)> read_request;
    /// Returns the headers for an upstream, without hop-by-hop headers and the length of the body.
    std::function<header_list(const request_head&, const upstream_send&)> write_send;
    /// Sets the other members of an answer head from its status and headers.
    std::function<void(answer_head&)> read_answer;
};

/// Returns the headers without hop-by-hop headers and those that frame the body.
header_list without_hop_headers(const header_list& headers);

} // namespace figspoke::relay
