#include "state/member_delta_codec.h"

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

void append_varint(std::string& out, std::uint64_t value) {
    while (value >= 0x80) {
        out.push_back(static_cast<char>(0x80U | (value & 0x7fU)));
        value >>= 7U;
    }
    out.push_back(static_cast<char>(value));
}

struct byte_reader {
    std::string_view remaining;
    bool is_valid = true;

    std::uint8_t read_byte() {
        if (remaining.empty()) {
            is_valid = false;
            return 0;
        }
        const auto value = static_cast<std::uint8_t>(remaining.front());
        remaining.remove_prefix(1);
        return value;
    }

    std::uint64_t read_varint() {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            const std::uint8_t group = read_byte();
            value |= std::uint64_t(group & 0x7fU) << shift;
            if ((group & 0x80U) == 0) {
                return value;
            }
        }
        is_valid = false;
        return 0;
    }
};

unsigned flags_of(const member_delta& delta) {
    const auto heartbeat_increment =
        delta.heartbeat_increment < long_increment ? unsigned(delta.heartbeat_increment) : long_increment;
    return unsigned(delta.state) | (delta.load ? load_flag : 0U) |
           (delta.table_revision ? revision_flag : 0U) | (delta.roster_version ? roster_flag : 0U) |
           (heartbeat_increment << increment_shift);
}

member_delta read_delta(byte_reader& reader, std::uint64_t next_index) {
    member_delta delta;
    delta.index = next_index + reader.read_varint();
    const unsigned flags = reader.read_byte();
    delta.state = static_cast<member_state>(flags & state_mask);
    const unsigned heartbeat_increment = flags >> increment_shift;
    delta.heartbeat_increment =
        heartbeat_increment == long_increment ? reader.read_varint() : heartbeat_increment;
    if ((flags & load_flag) != 0) {
        delta.load = reader.read_byte();
    }
    if ((flags & revision_flag) != 0) {
        delta.table_revision = reader.read_varint();
    }
    if ((flags & roster_flag) != 0) {
        delta.roster_version = reader.read_varint();
    }
    return delta;
}

} // namespace

std::string encode_deltas(const std::vector<member_delta>& deltas) {
    std::string encoded;
    encoded.reserve(deltas.size() * 4);
    std::uint64_t next_index = 0;
    for (const auto& delta : deltas) {
        append_varint(encoded, delta.index - next_index);
        next_index = delta.index + 1;
        encoded.push_back(static_cast<char>(flags_of(delta)));
        if (delta.heartbeat_increment >= long_increment) {
            append_varint(encoded, delta.heartbeat_increment);
        }
        if (delta.load) {
            encoded.push_back(static_cast<char>(*delta.load));
        }
        if (delta.table_revision) {
            append_varint(encoded, *delta.table_revision);
        }
        if (delta.roster_version) {
            append_varint(encoded, *delta.roster_version);
        }
    }
    return encoded;
}

std::optional<std::vector<member_delta>> decode_deltas(std::string_view bytes) {
    std::vector<member_delta> deltas;
    byte_reader reader{bytes};
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
