#include "relay/limit_message.h"

#include <algorithm>
#include <cmath>

#include "core/byte_codec.h"
#include "relay/use_codec.h"

namespace figspoke::relay {
namespace {

// They differ from the first byte of a heartbeat and of a load message.
constexpr char limit_marker = 'R';
constexpr char down_marker = 'D';
constexpr double steps_per_request = 1000;
// More requests a second than any upstream takes.
constexpr double max_per_second = 1e9;
// Fewest bytes of an entry, which bound the number of entries that a received message can announce.
constexpr std::size_t min_entry_bytes = 3;
constexpr std::size_t min_down_bytes = 2;

} // namespace

bool is_limit_message(std::string_view bytes) {
    return !bytes.empty() && (bytes.front() == limit_marker || bytes.front() == down_marker);
}

std::string encode_limit_message(const limit_message& message) {
    std::string out(1, limit_marker);
    core::append_varint(out, message.size());
    for (const auto& [upstream, record] : message) {
        core::append_text(out, upstream);
        out.push_back(record.per_second ? '\1' : '\0');
        if (record.per_second) {
            const double rate = std::clamp(*record.per_second, 0.0, max_per_second);
            core::append_varint(out, std::uint64_t(std::llround(rate * steps_per_request)));
        }
        append_age(out, record.age);
    }
    return out;
}

std::optional<limit_message> decode_limit_message(std::string_view bytes) {
    if (bytes.empty() || bytes.front() != limit_marker) {
        return std::nullopt;
    }
    core::byte_reader reader{bytes.substr(1)};
    limit_message message;
    for (auto left = core::read_count(reader, min_entry_bytes); left > 0 && reader.is_valid; --left) {
        std::string upstream(core::read_text(reader));
        limit_record record;
        if (core::read_byte(reader) != 0) {
            record.per_second =
                std::min(double(core::read_varint(reader)) / steps_per_request, max_per_second);
        }
        record.age = read_age(reader);
        message[std::move(upstream)] = record;
    }
    return core::is_complete(reader) ? std::make_optional(std::move(message)) : std::nullopt;
}

std::string encode_down_message(const down_message& message) {
    std::string out(1, down_marker);
    core::append_varint(out, message.size());
    for (const auto& [upstream, age] : message) {
        core::append_text(out, upstream);
        append_age(out, age);
    }
    return out;
}

std::optional<down_message> decode_down_message(std::string_view bytes) {
    if (bytes.empty() || bytes.front() != down_marker) {
        return std::nullopt;
    }
    core::byte_reader reader{bytes.substr(1)};
    down_message message;
    for (auto left = core::read_count(reader, min_down_bytes); left > 0 && reader.is_valid; --left) {
        std::string upstream(core::read_text(reader));
        message[std::move(upstream)] = read_age(reader);
    }
    return core::is_complete(reader) ? std::make_optional(std::move(message)) : std::nullopt;
}

} // namespace figspoke::relay
