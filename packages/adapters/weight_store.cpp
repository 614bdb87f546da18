#include "adapters/weight_store.h"

#include <algorithm>
#include <cstdlib>

#include "adapters/json_read.h"
#include "adapters/platform_call.h"

namespace figspoke::adapters {
namespace {

using std::chrono::milliseconds;

// The wait where a refusal names none.
constexpr milliseconds default_retry{1000};

weight_grant read_refusal(const http_reply& reply) {
    const auto text = header_or_empty(reply.headers, "retry-after-ms");
    const bool is_number = !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
    const milliseconds wait =
        is_number
            ? milliseconds(std::min<std::uint64_t>(std::strtoull(text.c_str(), nullptr, 10), max_duration_ms))
            : default_retry;
    return {false, milliseconds(0), wait};
}

weight_grant read_grant(const http_reply& reply) {
    const auto duration = read_number(parse_object(reply.body), "duration_ms", max_duration_ms);
    return {true, milliseconds(duration), milliseconds(0)};
}

platform_result<weight_grant> request_load(const platform_endpoint& at, const std::string& version,
                                           const std::string& upstream,
                                           const boost::asio::yield_context& yield) {
    const std::string target =
        "/weights/" + escape_segment(version) + "/load?upstream=" + escape_segment(upstream);
    // A repeat after a stale connection would take a second load from the store's rate.
    const http_call call{at.address, "POST", target, {}, {}, at.timeout, false};
    auto reply = call_platform(at.client, call, yield);
    if (!reply) {
        return tl::make_unexpected(std::move(reply.error()));
    }
    if (reply->status == 429) {
        return read_refusal(*reply);
    }
    if (reply->status != 200) {
        return unexpected_status(call, *reply);
    }
    return read_reply(call, *reply, read_grant);
}

} // namespace

weight_store make_weight_store(http_client& client, const std::string& address, milliseconds timeout) {
    const platform_endpoint at{client, address, timeout};
    return {
        [at](const std::string& version, const std::string& upstream,
             const boost::asio::yield_context& yield) { return request_load(at, version, upstream, yield); }};
}

} // namespace figspoke::adapters
