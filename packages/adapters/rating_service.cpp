#include "adapters/rating_service.h"

#include "adapters/json_read.h"
#include "adapters/platform_call.h"

namespace figspoke::adapters {
namespace {

using boost::asio::yield_context;
using nlohmann::json;

platform_result<void> submit(const platform_endpoint& at, const rating_request& request,
                             const yield_context& yield) {
    const json body = {{"request_id", request.request_id},
                       {"version", request.version},
                       {"task", request.task},
                       {"answer", request.answer}};
    // An answer may end in half a character where its stream was cut, which strict encoding rejects.
    const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
    // A repeat after a stale connection rates an answer twice at worst; readers tell by its request id.
    const http_call call{at.address, "POST",     "/ratings", {{"content-type", "application/json"}},
                         text,       at.timeout, true};
    auto reply = call_platform(at.client, call, yield);
    if (!reply) {
        return tl::make_unexpected(std::move(reply.error()));
    }
    if (reply->status != 202) {
        return unexpected_status(call, *reply);
    }
    return {};
}

answer_rating read_rating(const json& entry) {
    return {read_number(entry, "seq", max_sequence), read_text(entry, "request_id"),
            read_text(entry, "version"), read_text(entry, "task"), read_flag(entry, "passed")};
}

rating_page read_page(const http_reply& reply) {
    const auto body = parse_object(reply.body);
    rating_page page;
    page.next = read_number(body, "next", max_sequence);
    for (const auto& entry : read_array(body, "ratings")) {
        page.ratings.push_back(read_rating(entry));
    }
    return page;
}

} // namespace

rating_service make_rating_service(http_client& client, const std::string& address,
                                   std::chrono::milliseconds timeout) {
    const platform_endpoint at{client, address, timeout};
    rating_service port;
    port.submit = [at](const rating_request& request, const yield_context& yield) {
        return submit(at, request, yield);
    };
    port.read = [at](std::uint64_t after, const yield_context& yield) {
        return get_from_platform(at, "/ratings?after=" + std::to_string(after), yield, read_page);
    };
    return port;
}

} // namespace figspoke::adapters
