#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "adapters/framing.h"
#include "core/answer_status.h"
#include "core/folded_line.h"

namespace figspoke::adapters {

/// Limits of an answer and what its request says about its body.
struct answer_limits {
    std::uint32_t head_bytes = 0;
    /// Unlimited if absent.
    std::optional<std::uint64_t> body_bytes;
    /// Whether the answer ends with its head, as that to a HEAD request does.
    bool ends_with_head = false;
};

/// Number of fields in the head and the trailer of an answer. Short fields take far more memory than they
/// have bytes.
inline constexpr std::size_t max_answer_fields = 128;

/// Takes the memory for a head of this many bytes. Returns false if there is none left.
using hold_head_function = std::function<bool(std::size_t)>;

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

    void on_field_impl(boost::beast::http::field name, boost::beast::string_view name_text,
                       boost::beast::string_view value, boost::beast::error_code& code) override {
        if (++fields_ > max_answer_fields) {
            code = boost::beast::http::error::header_limit;
            return;
        }
        this->get().insert(name, name_text, value);
    }

    std::size_t fields_ = 0;
};

template <class Body>
using answer_parser_ptr = std::unique_ptr<answer_parser<Body>>;

/// Number of interim answers that may precede the final one.
inline constexpr int max_interim_answers = 16;

/// Reads what has arrived on a connection into the free part of a buffer.
inline void read_more(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
                      const boost::asio::yield_context& yield, boost::beast::error_code& code) {
    constexpr std::size_t max_read_bytes = 64U * 1024;
    const auto size = boost::beast::read_size(buffer, max_read_bytes);
    if (size == 0) {
        code = boost::beast::http::error::buffer_overflow;
        return;
    }
    buffer.commit(socket.async_read_some(buffer.prepare(size), yield[code]));
}

/// Reads the head of one answer. The library joins a folded line to the value of the field before it, so that
/// a senseless line would be passed on, or a length be missed; lines are checked before it parses them.
template <class Body>
void read_one_head(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
                   answer_parser<Body>& parser, const hold_head_function& hold,
                   const boost::asio::yield_context& yield, boost::beast::error_code& code) {
    // Bytes at the end of the checked text that may belong to the end of a line or of the head.
    constexpr std::size_t overlap = 3;
    std::size_t checked = 0;
    std::size_t parsed_bytes = 0;
    code = boost::beast::http::error::need_more;
    while (true) {
        if (buffer.size() > 0) {
            const std::string_view received(static_cast<const char*>(buffer.data().data()), buffer.size());
            if (core::has_folded_line(received.substr(checked - std::min(checked, overlap)))) {
                code = boost::beast::http::error::bad_field;
                return;
            }
            const auto parsed = parser.put(buffer.data(), code);
            buffer.consume(parsed);
            parsed_bytes += parsed;
            checked = received.size() - parsed;
        }
        if (code != boost::beast::http::error::need_more) {
            return;
        }
        code = {};
        if (!hold(parsed_bytes + buffer.size())) {
            code = boost::asio::error::no_memory;
            return;
        }
        read_more(socket, buffer, yield, code);
        if (code == boost::asio::error::eof) {
            code = parser.got_some() ? boost::beast::http::error::partial_message
                                     : boost::beast::http::error::end_of_stream;
        }
        if (code) {
            return;
        }
    }
}

/// Reads the head of the final answer from a connection, with the bytes that are already in `buffer`. Skips
/// interim answers. Returns the parser, which reads the body next, or null with `code` set.
template <class Body>
answer_parser_ptr<Body>
read_answer_head(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
                 const answer_limits& limits, const hold_head_function& hold,
                 const boost::asio::yield_context& yield, boost::beast::error_code& code) {
    for (int interim = 0; interim <= max_interim_answers; ++interim) {
        auto parser = std::make_unique<answer_parser<Body>>();
        parser->header_limit(limits.head_bytes);
        if (limits.body_bytes) {
            parser->body_limit(*limits.body_bytes);
        } else {
            parser->body_limit(boost::none);
        }
        parser->skip(limits.ends_with_head);
        read_one_head(socket, buffer, *parser, hold, yield, code);
        if (code) {
            return nullptr;
        }
        const auto status = static_cast<int>(parser->get().result_int());
        if (core::kind_of_status(status) != core::answer_kind::final_answer) {
            continue;
        }
        if (has_unambiguous_framing(parser->get())) {
            return parser;
        }
        code = boost::beast::http::error::bad_transfer_encoding;
        return nullptr;
    }
    code = boost::beast::http::error::bad_status;
    return nullptr;
}

} // namespace figspoke::adapters
