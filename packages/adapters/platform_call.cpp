#include "adapters/platform_call.h"

#include <cctype>
#include <string_view>

namespace figspoke::adapters {

platform_result<http_reply> call_platform(http_client& client, const http_call& call,
                                          const boost::asio::yield_context& yield) {
    auto reply = client.fetch(call, yield);
    if (!reply) {
        const bool sent = reply.error().progress != call_progress::not_sent;
        return tl::make_unexpected(
            platform_failure{sent, call.method + " " + call.target + ": " + reply.error().message});
    }
    return std::move(*reply);
}

tl::unexpected<platform_failure> unexpected_status(const http_call& call, const http_reply& reply) {
    // A 5xx answer says nothing about the effect: the service may have failed after it.
    return tl::make_unexpected(platform_failure{reply.status >= 500, call.method + " " + call.target +
                                                                         " of " + call.address + ": status " +
                                                                         std::to_string(reply.status)});
}

std::string percent_escape(std::string_view text, std::string_view kept) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || kept.find(c) != std::string_view::npos) {
            escaped.push_back(c);
        } else {
            escaped.push_back('%');
            escaped.push_back(digits[byte / 16]);
            escaped.push_back(digits[byte % 16]);
        }
    }
    return escaped;
}

std::string escape_segment(const std::string& text) {
    return percent_escape(text, "-._~@");
}

} // namespace figspoke::adapters
