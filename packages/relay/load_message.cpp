#include "relay/load_message.h"

#include <algorithm>

#include "relay/use_codec.h"

namespace figspoke::relay {
namespace {

using core::byte_reader;

// Differs from the first byte of a heartbeat.
// Messages of earlier builds had another one; they lack the speeds.
constexpr char load_marker = 'S';

// Fewest bytes of a list's entry, which bound the number of entries that a received message can announce.
constexpr std::size_t min_event_bytes = 2;
constexpr std::size_t min_query_bytes = 1;
constexpr std::size_t min_load_bytes = 9;
constexpr std::size_t min_sample_bytes = 3;

// Times per unit of work travel in thousandths. Greater ones than any upstream needs are cut.
constexpr double speed_steps = 1000;
constexpr double max_speed_steps = 1e9;
constexpr int max_pace_limit = 1'000'000;
constexpr std::uint64_t max_wanted_tokens = 1'000'000'000;

// Bits of the flags of an upstream's load.
constexpr std::uint8_t suspect_flag = 1;
constexpr std::uint8_t full_flag = 2;
constexpr std::uint8_t paced_flag = 4;

void append_speed(std::string& out, double value) {
    core::append_varint(out, std::uint64_t(std::clamp(value * speed_steps, 0.0, max_speed_steps)));
}

double read_speed(byte_reader& reader) {
    return std::min(double(core::read_varint(reader)), max_speed_steps) / speed_steps;
}

void append_samples(std::string& out, const load_message& message) {
    core::append_varint(out, message.speed_samples.size());
    for (const auto& [upstream, sample] : message.speed_samples) {
        core::append_text(out, upstream);
        out.push_back(static_cast<char>(sample.measure));
        append_speed(out, sample.value);
    }
}

void read_samples(byte_reader& reader, load_message& message) {
    for (auto left = core::read_count(reader, min_sample_bytes); left > 0 && reader.is_valid; --left) {
        std::string upstream(core::read_text(reader));
        const int measure = core::read_byte(reader);
        reader.is_valid = reader.is_valid && measure < policy::speed_measure_count;
        message.speed_samples.emplace_back(
            std::move(upstream),
            policy::speed_sample{static_cast<policy::speed_measure>(measure), read_speed(reader)});
    }
}

void append_known_speeds(std::string& out, const policy::aggregated_load& load) {
    for (const auto& speed : load.speeds) {
        out.push_back(speed ? '\1' : '\0');
        if (speed) {
            append_speed(out, speed->value);
            append_age(out, speed->age);
        }
    }
}

void read_known_speeds(byte_reader& reader, policy::aggregated_load& load) {
    for (auto& speed : load.speeds) {
        if (core::read_byte(reader) != 0) {
            const double value = read_speed(reader);
            speed = policy::known_speed{value, read_age(reader)};
        }
    }
}

void read_events(byte_reader& reader, load_message& message) {
    for (auto left = core::read_count(reader, min_event_bytes); left > 0 && reader.is_valid; --left) {
        std::string upstream(core::read_text(reader));
        const int number = core::read_byte(reader);
        reader.is_valid = reader.is_valid && number < policy::upstream_event_count;
        message.events.emplace_back(std::move(upstream), static_cast<policy::upstream_event>(number));
    }
}

void read_queries(byte_reader& reader, load_message& message) {
    for (auto left = core::read_count(reader, min_query_bytes); left > 0 && reader.is_valid; --left) {
        message.queried_upstreams.emplace_back(core::read_text(reader));
    }
}

void read_loads(byte_reader& reader, load_message& message) {
    for (auto left = core::read_count(reader, min_load_bytes); left > 0 && reader.is_valid; --left) {
        std::string upstream(core::read_text(reader));
        const auto use = read_use(reader);
        const auto flags = core::read_byte(reader);
        policy::aggregated_load load{use, (flags & suspect_flag) != 0, (flags & full_flag) != 0, {}, {}};
        if ((flags & paced_flag) != 0) {
            load.pace_limit =
                int(std::min<std::uint64_t>(core::read_varint(reader), std::uint64_t(max_pace_limit)));
        }
        read_known_speeds(reader, load);
        message.loads.emplace_back(std::move(upstream), load);
    }
}

} // namespace

bool is_load_message(std::string_view bytes) {
    return !bytes.empty() && bytes.front() == load_marker;
}

std::string encode_load_message(const load_message& message) {
    std::string out(1, load_marker);
    core::append_text(out, message.node);
    for (const auto number :
         {message.incarnation, message.sequence, message.query_id, message.answered_query_id}) {
        core::append_varint(out, number);
    }
    append_uses(out, message.uses);
    core::append_varint(out, message.events.size());
    for (const auto& [upstream, event] : message.events) {
        core::append_text(out, upstream);
        out.push_back(static_cast<char>(event));
    }
    append_samples(out, message);
    core::append_varint(out, message.queried_upstreams.size());
    for (const auto& upstream : message.queried_upstreams) {
        core::append_text(out, upstream);
    }
    core::append_varint(out, std::uint64_t(std::max<std::int64_t>(message.wanted_tokens, 0)));
    core::append_varint(out, message.loads.size());
    for (const auto& [upstream, load] : message.loads) {
        core::append_text(out, upstream);
        append_use(out, load.use);
        out.push_back(static_cast<char>((load.suspect ? suspect_flag : 0) | (load.full ? full_flag : 0) |
                                        (load.pace_limit ? paced_flag : 0)));
        if (load.pace_limit) {
            core::append_varint(out, std::uint64_t(std::max(*load.pace_limit, 1)));
        }
        append_known_speeds(out, load);
    }
    return out;
}

std::optional<load_message> decode_load_message(std::string_view bytes) {
    if (!is_load_message(bytes)) {
        return std::nullopt;
    }
    byte_reader reader{bytes.substr(1)};
    load_message message;
    message.node = core::read_text(reader);
    for (auto* number :
         {&message.incarnation, &message.sequence, &message.query_id, &message.answered_query_id}) {
        *number = core::read_varint(reader);
    }
    message.uses = read_uses(reader);
    read_events(reader, message);
    read_samples(reader, message);
    read_queries(reader, message);
    message.wanted_tokens = std::int64_t(std::min(core::read_varint(reader), max_wanted_tokens));
    read_loads(reader, message);
    return core::is_complete(reader) ? std::make_optional(std::move(message)) : std::nullopt;
}

} // namespace figspoke::relay
