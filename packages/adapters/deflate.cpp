#include "adapters/deflate.h"

#include <algorithm>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace figspoke::adapters {
namespace {

namespace zlib = boost::beast::zlib;

// The output grows by this much at first and doubles from then on.
constexpr std::size_t first_bytes = 4096;

} // namespace

std::string deflate_bytes(std::string_view bytes) {
    zlib::deflate_stream stream;
    std::string packed(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params state;
    state.next_in = bytes.data();
    state.avail_in = bytes.size();
    state.next_out = packed.data();
    state.avail_out = packed.size();
    boost::beast::error_code code;
    stream.write(state, zlib::Flush::finish, code);
    packed.resize(state.total_out);
    return packed;
}

std::optional<std::string> inflate_bytes(std::string_view packed, std::size_t most_bytes) {
    zlib::inflate_stream stream;
    std::string bytes;
    zlib::z_params state;
    state.next_in = packed.data();
    state.avail_in = packed.size();
    while (true) {
        if (state.total_out == bytes.size()) {
            if (bytes.size() >= most_bytes) {
                return std::nullopt;
            }
            bytes.resize(std::min(std::max(bytes.size() * 2, first_bytes), most_bytes));
        }
        state.next_out = bytes.data() + state.total_out;
        state.avail_out = bytes.size() - state.total_out;
        boost::beast::error_code code;
        stream.write(state, zlib::Flush::sync, code);
        if (code == zlib::error::end_of_stream) {
            bytes.resize(state.total_out);
            return bytes;
        }
        const bool full = state.avail_out == 0;
        if (code || (!full && state.avail_in == 0)) {
            return std::nullopt;
        }
    }
}

} // namespace figspoke::adapters
