#include "node/error_reply.h"

#include "core/error_json.h"

namespace figspoke::node {
namespace {

using core::error_kind;

error_kind kind_of_status(int status) {
    switch (status) {
    case 408:
        return error_kind::request_timeout;
    case 413:
    case 431:
        return error_kind::payload_too_large;
    case 503:
        return error_kind::overloaded;
    case 500:
        return error_kind::internal;
    default:
        return error_kind::bad_request;
    }
}

} // namespace

adapters::http_reply error_reply(const core::error& cause, const std::vector<std::string>& addresses) {
    adapters::http_reply reply{core::error_answer_for(cause.kind).http_status,
                               {{"content-type", "application/json"}},
                               core::render_error(cause, addresses)};
    if (const auto retry = core::retry_time(cause)) {
        const auto whole = std::chrono::ceil<std::chrono::seconds>(*retry);
        reply.headers["retry-after"] = std::to_string(whole.count());
    }
    return reply;
}

adapters::http_reply json_reply(std::string body) {
    return {200, {{"content-type", "application/json"}}, std::move(body)};
}

adapters::http_reply protocol_error_reply(int status, std::string_view what) {
    auto reply = error_reply({kind_of_status(status), std::string(what), std::nullopt});
    if (status == 431) {
        reply.status = status;
    }
    return reply;
}

} // namespace figspoke::node
