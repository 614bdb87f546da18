#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "core/answer_status.h"

namespace figspoke::adapters {

/// Limits of an answer and what its request says about its body.
struct answer_limits {
    std::uint32_t head_bytes = 0;
    /// Unlimited if absent.
    std::optional<std::uint64_t> body_bytes;
    /// Whether the answer ends with its head, as that to a HEAD request does.
    bool ends_with_head = false;
};

/// Parser of an answer that rejects what HTTP doesn't allow and the library lets pass.
template <class Body>
class answer_parser final : public boost::beast::http::response_parser<Body> {
  private:
    // Replaces the library's, which accepts any three digits as a status.
    void on_response_impl(int status, boost::beast::string_view reason, int version,
                          boost::beast::error_code& code) override {
        if (core::kind_of_status(status) == core::answer_kind::invalid) {
            code = boost::beast::http::error::bad_status;
            return;
        }
        auto& message = this->get();
        message.result(static_cast<unsigned>(status));
        message.version(version);
        message.reason(reason);
    }
};

template <class Body>
using answer_parser_ptr = std::unique_ptr<answer_parser<Body>>;

/// Number of interim answers that may precede the final one.
inline constexpr int max_interim_answers = 16;

/// Reads the head of the final answer from a connection, with the bytes that are already in `buffer`. Skips
/// interim answers. Returns the parser, which reads the body next, or null with `code` set.
template <class Body>
answer_parser_ptr<Body> read_answer_head(boost::asio::ip::tcp::socket& socket,
                                         boost::beast::flat_buffer& buffer, const answer_limits& limits,
                                         const boost::asio::yield_context& yield,
                                         boost::beast::error_code& code) {
    for (int interim = 0; interim <= max_interim_answers; ++interim) {
        auto parser = std::make_unique<answer_parser<Body>>();
        parser->header_limit(limits.head_bytes);
        if (limits.body_bytes) {
            parser->body_limit(*limits.body_bytes);
        } else {
            parser->body_limit(boost::none);
        }
        parser->skip(limits.ends_with_head);
        boost::beast::http::async_read_header(socket, buffer, *parser, yield[code]);
        if (code) {
            return nullptr;
        }
        const auto status = static_cast<int>(parser->get().result_int());
        if (core::kind_of_status(status) == core::answer_kind::final_answer) {
            return parser;
        }
    }
    code = boost::beast::http::error::bad_status;
    return nullptr;
}

} // namespace figspoke::adapters
