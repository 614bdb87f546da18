#include "relay/wire_protocol.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>

namespace figspoke::relay {
namespace {

constexpr std::array<std::string_view, 10> hop_headers = {
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

// Returns the names in the Connection header: further headers that apply to this connection only.
std::vector<std::string> connection_options(const header_list& headers) {
    std::vector<std::string> names;
    for (const auto& [name, value] : headers) {
        if (!same_header(name, "connection")) {
            continue;
        }
        std::string_view rest = value;
        while (!rest.empty()) {
            const auto end = rest.find(',');
            names.emplace_back(trim(rest.substr(0, end)));
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
    }
    return names;
}

} // namespace

bool same_header(std::string_view a, std::string_view b) {
    return boost::beast::iequals(a, b);
}

const std::string* find_header(const header_list& headers, std::string_view name) {
    for (const auto& [key, value] : headers) {
        if (same_header(key, name)) {
            return &value;
        }
    }
    return nullptr;
}

header_list without_hop_headers(const header_list& headers) {
    const auto named = connection_options(headers);
    const auto is_hop = [&](const std::string& name) {
        const auto same = [&](std::string_view other) { return same_header(name, other); };
        return std::any_of(hop_headers.begin(), hop_headers.end(), same) ||
               std::any_of(named.begin(), named.end(), same);
    };
    header_list kept;
    for (const auto& header : headers) {
        if (!is_hop(header.first)) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace figspoke::relay
