#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace figspoke::adapters {

/// Header fields by lower-case name. Of a repeated field a server keeps the last value, and a client joins
/// the values with commas.
using http_headers = std::map<std::string, std::string>;

/// One HTTP/1.1 request as a server sees it.
struct http_request {
    std::string method;
    /// Path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    http_headers headers;
    std::string body;
};

/// A request to send.
struct http_call {
    /// `IP:port`.
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
    /// Time for the whole exchange; for a stream, the longest silence between two chunks.
    std::chrono::milliseconds timeout{5000};
    /// Whether an idle connection may be reused. A call that must not be sent twice uses a new one.
    bool reuse_connection = true;
};

/// A whole answer.
struct http_reply {
    int status = 0;
    http_headers headers;
    std::string body;
};

/// How far a failed call got.
enum class call_progress {
    /// No byte of the request left this machine.
    not_sent,
    /// The request may have arrived; no answer was read.
    sent,
    /// The answer began and broke off.
    answer_begun,
};

/// A call that brought no whole answer.
struct http_failure {
    call_progress progress = call_progress::not_sent;
    bool timed_out = false;
    /// Whether bytes arrived that are not an HTTP answer.
    bool malformed = false;
    std::string message;
};

template <class T>
using http_result = tl::expected<T, http_failure>;

/// Returns a header's value, or an empty text where it is absent. `name` is in lower case.
std::string header_or_empty(const http_headers& headers, const std::string& name);

} // namespace figspoke::adapters
