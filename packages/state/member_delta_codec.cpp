#include "state/member_delta_codec.h"

#include "core/byte_codec.h"

namespace figspoke::state {
namespace {

// Layout of a delta: the number of indexes skipped since the last delta, a byte of flags, then the values
// that the flags announce. The flags hold the state in bits 0 and 1, three presence bits, and the heartbeat
// increment in bits 5 to 7; the largest value of these means that the increment follows as a number.
constexpr unsigned state_mask = 0x3;
constexpr unsigned load_flag = 0x4;
constexpr unsigned revision_flag = 0x8;
constexpr unsigned roster_flag = 0x10;
constexpr unsigned increment_shift = 5;
constexpr unsigned long_increment = 7;

unsigned flags_of(const member_delta& delta) {
    const auto heartbeat_increment =
        delta.heartbeat_increment < long_increment ? unsigned(delta.heartbeat_increment) : long_increment;
    return unsigned(delta.state) | (delta.load ? load_flag : 0U) |
           (delta.table_revision ? revision_flag : 0U) | (delta.roster_version ? roster_flag : 0U) |
           (heartbeat_increment << increment_shift);
}

member_delta read_delta(core::byte_reader& reader, std::uint64_t next_index) {
    member_delta delta;
    delta.index = next_index + core::read_varint(reader);
    const unsigned flags = core::read_byte(reader);
    delta.state = static_cast<member_state>(flags & state_mask);
    const unsigned heartbeat_increment = flags >> increment_shift;
    delta.heartbeat_increment =
        heartbeat_increment == long_increment ? core::read_varint(reader) : heartbeat_increment;
    if ((flags & load_flag) != 0) {
        delta.load = core::read_byte(reader);
    }
    if ((flags & revision_flag) != 0) {
        delta.table_revision = core::read_varint(reader);
    }
    if ((flags & roster_flag) != 0) {
        delta.roster_version = core::read_varint(reader);
    }
    return delta;
}

} // namespace

std::string encode_deltas(const std::vector<member_delta>& deltas) {
    std::string encoded;
    encoded.reserve(deltas.size() * 4);
    std::uint64_t next_index = 0;
    for (const auto& delta : deltas) {
        core::append_varint(encoded, delta.index - next_index);
        next_index = delta.index + 1;
        encoded.push_back(static_cast<char>(flags_of(delta)));
        if (delta.heartbeat_increment >= long_increment) {
            core::append_varint(encoded, delta.heartbeat_increment);
        }
        if (delta.load) {
            encoded.push_back(static_cast<char>(*delta.load));
        }
        if (delta.table_revision) {
            core::append_varint(encoded, *delta.table_revision);
        }
        if (delta.roster_version) {
            core::append_varint(encoded, *delta.roster_version);
        }
    }
    return encoded;
}

std::optional<std::vector<member_delta>> decode_deltas(std::string_view bytes) {
    std::vector<member_delta> deltas;
    core::byte_reader reader{bytes};
    std::uint64_t next_index = 0;
    while (!reader.remaining.empty()) {
        deltas.push_back(read_delta(reader, next_index));
        if (!reader.is_valid || deltas.back().index < next_index) {
            return std::nullopt;
        }
        next_index = deltas.back().index + 1;
    }
    return deltas;
}

} // namespace figspoke::state
