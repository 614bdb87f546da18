#include "relay/pace_message.h"

#include <algorithm>
#include <limits>

#include "core/byte_codec.h"

namespace figspoke::relay {
namespace {

// Differs from the first bytes of all other datagrams.
constexpr char pace_marker = 'P';
// Fewest bytes of an entry, which bound the number of entries that a received message can announce.
constexpr std::size_t min_record_bytes = 3;

int read_count_value(core::byte_reader& reader) {
    const auto value = core::read_varint(reader);
    reader.is_valid = reader.is_valid && value <= std::uint64_t(std::numeric_limits<int>::max() / 4);
    return reader.is_valid ? int(value) : 0;
}

} // namespace

bool is_pace_message(std::string_view bytes) {
    return !bytes.empty() && bytes.front() == pace_marker;
}

std::string encode_pace_message(const pace_message& message) {
    std::string out(1, pace_marker);
    core::append_varint(out, message.size());
    for (const auto& [upstream, record] : message) {
        core::append_text(out, upstream);
        core::append_varint(out, std::uint64_t(std::max(record.limit, 1)));
        core::append_varint(out, std::uint64_t(std::max(record.setbacks, 0)));
    }
    return out;
}

std::optional<pace_message> decode_pace_message(std::string_view bytes) {
    if (!is_pace_message(bytes)) {
        return std::nullopt;
    }
    core::byte_reader reader{bytes.substr(1)};
    pace_message message;
    for (auto left = core::read_count(reader, min_record_bytes); left > 0 && reader.is_valid; --left) {
        std::string upstream(core::read_text(reader));
        pace_record record;
        record.limit = read_count_value(reader);
        record.setbacks = read_count_value(reader);
        message[std::move(upstream)] = record;
    }
    return core::is_complete(reader) ? std::make_optional(std::move(message)) : std::nullopt;
}

} // namespace figspoke::relay
