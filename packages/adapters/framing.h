#pragma once

#include <iterator>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace figspoke::adapters {

/// Returns whether the head of an HTTP message frames its body without doubt: by one length, by the coding
/// `chunked` alone, or by neither. Other codings would stay in the body, and two statements may differ.
template <class Fields>
bool has_unambiguous_framing(const Fields& fields) {
    namespace http = boost::beast::http;
    const auto codings = fields.equal_range(http::field::transfer_encoding);
    const auto lengths = fields.equal_range(http::field::content_length);
    const auto coding_count = std::distance(codings.first, codings.second);
    const auto length_count = std::distance(lengths.first, lengths.second);
    if (coding_count + length_count > 1) {
        return false;
    }
    return coding_count == 0 || boost::beast::iequals(codings.first->value(), "chunked");
}

} // namespace figspoke::adapters
