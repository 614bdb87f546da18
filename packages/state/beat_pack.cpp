#include "state/beat_pack.h"

namespace figspoke::state {
namespace {

// Layout of an entry: the gap to the last index, a byte of flags, then what the flags announce. The flags
// hold the state in bits 0 and 1, three presence bits, and a small advance in bits 5 to 7.
constexpr unsigned state_mask = 0x3;
constexpr unsigned load_flag = 0x4;
constexpr unsigned revision_flag = 0x8;
constexpr unsigned roster_flag = 0x10;
constexpr unsigned advance_shift = 5;
constexpr unsigned long_advance = 7;

void put_number(std::string& out, std::uint64_t value) {
    while (value >= 0x80) {
        out.push_back(static_cast<char>(0x80U | (value & 0x7fU)));
        value >>= 7U;
    }
    out.push_back(static_cast<char>(value));
}

struct byte_reader {
    std::string_view rest;
    bool ok = true;

    std::uint8_t byte() {
        if (rest.empty()) {
            ok = false;
            return 0;
        }
        const auto value = static_cast<std::uint8_t>(rest.front());
        rest.remove_prefix(1);
        return value;
    }

    std::uint64_t number() {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            const std::uint8_t part = byte();
            value |= std::uint64_t(part & 0x7fU) << shift;
            if ((part & 0x80U) == 0) {
                return value;
            }
        }
        ok = false;
        return 0;
    }
};

unsigned flags_of(const short_entry& entry) {
    const auto advance = entry.advance < long_advance ? unsigned(entry.advance) : long_advance;
    return unsigned(entry.state) | (entry.load ? load_flag : 0U) |
           (entry.table_revision ? revision_flag : 0U) | (entry.roster_version ? roster_flag : 0U) |
           (advance << advance_shift);
}

short_entry read_entry(byte_reader& reader, std::uint64_t next_index) {
    short_entry entry;
    entry.index = next_index + reader.number();
    const unsigned flags = reader.byte();
    entry.state = static_cast<member_state>(flags & state_mask);
    const unsigned advance = flags >> advance_shift;
    entry.advance = advance == long_advance ? reader.number() : advance;
    if ((flags & load_flag) != 0) {
        entry.load = reader.byte();
    }
    if ((flags & revision_flag) != 0) {
        entry.table_revision = reader.number();
    }
    if ((flags & roster_flag) != 0) {
        entry.roster_version = reader.number();
    }
    return entry;
}

} // namespace

std::string pack_beats(const std::vector<short_entry>& beats) {
    std::string packed;
    packed.reserve(beats.size() * 4);
    std::uint64_t next_index = 0;
    for (const auto& entry : beats) {
        put_number(packed, entry.index - next_index);
        next_index = entry.index + 1;
        packed.push_back(static_cast<char>(flags_of(entry)));
        if (entry.advance >= long_advance) {
            put_number(packed, entry.advance);
        }
        if (entry.load) {
            packed.push_back(static_cast<char>(*entry.load));
        }
        if (entry.table_revision) {
            put_number(packed, *entry.table_revision);
        }
        if (entry.roster_version) {
            put_number(packed, *entry.roster_version);
        }
    }
    return packed;
}

std::optional<std::vector<short_entry>> unpack_beats(std::string_view bytes) {
    std::vector<short_entry> beats;
    byte_reader reader{bytes};
    std::uint64_t next_index = 0;
    while (!reader.rest.empty()) {
        beats.push_back(read_entry(reader, next_index));
        if (!reader.ok || beats.back().index < next_index) {
            return std::nullopt;
        }
        next_index = beats.back().index + 1;
    }
    return beats;
}

} // namespace figspoke::state
