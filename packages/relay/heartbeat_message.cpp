#include "relay/heartbeat_message.h"

#include <algorithm>
#include <limits>

#include "core/hash.h"
#include "relay/use_codec.h"

namespace figspoke::relay {
namespace {

using core::byte_reader;

// First byte of a heartbeat. It differs from that of a load message and from the CBOR maps of format 2.
constexpr char heartbeat_format = 3;

// Bits of the flags of a roll-out record.
constexpr std::uint8_t stopped_flag = 1;
constexpr std::uint8_t written_flag = 2;

// Nodes of earlier builds read a flag here. The byte keeps the format, so that they take these heartbeats.
constexpr char unused_session_byte = 0;

// Fewest bytes of a list's entry, which bound the number of entries that a received message can announce.
constexpr std::size_t min_trial_bytes = 15;
constexpr std::size_t min_crash_bytes = 10;
constexpr std::size_t min_rollout_bytes = 5;
constexpr std::size_t min_session_bytes = 10;
constexpr std::size_t min_member_bytes = 9;
constexpr std::size_t min_compact_member_bytes = 7;

std::string read_string(byte_reader& reader) {
    return std::string(core::read_text(reader));
}

void append_member(std::string& out, const state::member_entry& entry) {
    for (const auto* text : {&entry.id, &entry.http_address, &entry.mesh_address, &entry.failure_domain}) {
        core::append_text(out, *text);
    }
    core::append_varint(out, entry.incarnation);
    core::append_varint(out, entry.heartbeat);
    out.push_back(static_cast<char>(entry.state));
    out.push_back(static_cast<char>(entry.load));
}

state::member_state read_state(byte_reader& reader) {
    const auto value = state::member_state_of(core::read_byte(reader));
    reader.is_valid = reader.is_valid && value.has_value();
    return value.value_or(state::member_state::joining);
}

state::member_entry read_member(byte_reader& reader) {
    state::member_entry entry;
    for (auto* text : {&entry.id, &entry.http_address, &entry.mesh_address, &entry.failure_domain}) {
        *text = read_string(reader);
    }
    entry.incarnation = core::read_varint(reader);
    entry.heartbeat = core::read_varint(reader);
    entry.state = read_state(reader);
    entry.load = core::read_byte(reader);
    return entry;
}

void append_counts(std::string& out, const policy::version_counts& counts) {
    for (const auto number : {counts.sent, counts.good, counts.bad, counts.first_byte_ms}) {
        core::append_varint(out, number);
    }
}

policy::version_counts read_counts(byte_reader& reader) {
    policy::version_counts counts;
    for (auto* number : {&counts.sent, &counts.good, &counts.bad, &counts.first_byte_ms}) {
        *number = core::read_varint(reader);
    }
    return counts;
}

void append_trials(std::string& out, const std::vector<trial_record>& trials) {
    core::append_varint(out, trials.size());
    for (const auto& record : trials) {
        const auto& report = record.report;
        core::append_text(out, record.service);
        core::append_varint(out, record.order);
        core::append_text(out, report.node);
        core::append_varint(out, report.incarnation);
        core::append_varint(out, report.sequence);
        append_counts(out, report.target);
        append_counts(out, report.old);
        core::append_signed(out, report.running_on_old);
        append_age(out, record.age);
    }
}

void read_trials(byte_reader& reader, std::vector<trial_record>& trials) {
    for (auto left = core::read_count(reader, min_trial_bytes); left > 0 && reader.is_valid; --left) {
        trial_record record;
        record.service = read_string(reader);
        record.order = core::read_varint(reader);
        record.report.node = read_string(reader);
        record.report.incarnation = core::read_varint(reader);
        record.report.sequence = core::read_varint(reader);
        record.report.target = read_counts(reader);
        record.report.old = read_counts(reader);
        const auto running = core::read_signed(reader);
        reader.is_valid = reader.is_valid && running >= 0 && running <= std::numeric_limits<int>::max();
        record.report.running_on_old = int(running);
        record.age = read_age(reader);
        trials.push_back(std::move(record));
    }
}

void append_crashes(std::string& out, const std::vector<crash_record>& crashes) {
    core::append_varint(out, crashes.size());
    for (const auto& record : crashes) {
        core::append_fixed64(out, record.fingerprint);
        core::append_text(out, record.upstream);
        append_age(out, record.age);
    }
}

void read_crashes(byte_reader& reader, std::vector<crash_record>& crashes) {
    for (auto left = core::read_count(reader, min_crash_bytes); left > 0 && reader.is_valid; --left) {
        crash_record record;
        record.fingerprint = core::read_fixed64(reader);
        record.upstream = read_string(reader);
        record.age = read_age(reader);
        crashes.push_back(std::move(record));
    }
}

void append_rollouts(std::string& out, const std::vector<rollout_record>& rollouts) {
    core::append_varint(out, rollouts.size());
    for (const auto& record : rollouts) {
        core::append_text(out, record.service);
        core::append_varint(out, record.order);
        out.push_back(static_cast<char>(record.state));
        out.push_back(
            static_cast<char>((record.stopped ? stopped_flag : 0) | (record.written ? written_flag : 0)));
        append_age(out, record.elapsed);
    }
}

void read_rollouts(byte_reader& reader, std::vector<rollout_record>& rollouts) {
    for (auto left = core::read_count(reader, min_rollout_bytes); left > 0 && reader.is_valid; --left) {
        rollout_record record;
        record.service = read_string(reader);
        record.order = core::read_varint(reader);
        const auto state = core::read_byte(reader);
        reader.is_valid = reader.is_valid && state <= static_cast<std::uint8_t>(rollout_state::reverted);
        record.state = static_cast<rollout_state>(state);
        const auto flags = core::read_byte(reader);
        record.stopped = (flags & stopped_flag) != 0;
        record.written = (flags & written_flag) != 0;
        record.elapsed = read_age(reader);
        rollouts.push_back(std::move(record));
    }
}

void append_sessions(std::string& out, const std::vector<session_record>& sessions) {
    core::append_varint(out, sessions.size());
    for (const auto& record : sessions) {
        core::append_fixed64(out, record.session);
        out.push_back(unused_session_byte);
        append_age(out, record.age);
    }
}

void read_sessions(byte_reader& reader, std::vector<session_record>& sessions) {
    for (auto left = core::read_count(reader, min_session_bytes); left > 0 && reader.is_valid; --left) {
        session_record record;
        record.session = core::read_fixed64(reader);
        core::read_byte(reader);
        record.age = read_age(reader);
        sessions.push_back(record);
    }
}

void append_members(std::string& out, const std::vector<relayed_member>& members) {
    core::append_varint(out, members.size());
    for (const auto& member : members) {
        append_member(out, member.entry);
        append_age(out, member.silence);
    }
}

void read_members(byte_reader& reader, std::vector<relayed_member>& members) {
    for (auto left = core::read_count(reader, min_member_bytes); left > 0 && reader.is_valid; --left) {
        relayed_member member;
        member.entry = read_member(reader);
        member.silence = read_age(reader);
        members.push_back(std::move(member));
    }
}

void append_compact_members(std::string& out, const std::vector<compact_member>& members) {
    core::append_varint(out, members.size());
    for (const auto& member : members) {
        core::append_fixed32(out, member.tag);
        core::append_varint(out, member.heartbeat);
        out.push_back(static_cast<char>(member.state));
        append_age(out, member.silence);
    }
}

void read_compact_members(byte_reader& reader, std::vector<compact_member>& members) {
    auto left = core::read_count(reader, min_compact_member_bytes);
    members.reserve(left);
    for (; left > 0 && reader.is_valid; --left) {
        compact_member member;
        member.tag = core::read_fixed32(reader);
        member.heartbeat = core::read_varint(reader);
        member.state = read_state(reader);
        member.silence = read_age(reader);
        members.push_back(member);
    }
}

} // namespace

std::uint32_t member_tag(const std::string& id, std::uint64_t incarnation) {
    return std::uint32_t(core::stable_hash(id + '/' + std::to_string(incarnation)));
}

std::string encode_heartbeat(const heartbeat_message& message) {
    std::string out(1, heartbeat_format);
    append_member(out, message.sender);
    core::append_signed(out, message.stamp);
    out.push_back(message.echoed_stamp ? '\1' : '\0');
    if (message.echoed_stamp) {
        core::append_signed(out, *message.echoed_stamp);
        core::append_signed(out, message.echo_held.count());
    }
    for (const auto& claim : message.documents) {
        core::append_varint(out, state::pack_position(claim.at));
        core::append_fixed64(out, claim.hash);
        append_age(out, claim.age);
    }
    append_uses(out, message.uses);
    append_trials(out, message.trials);
    append_crashes(out, message.crashes);
    append_rollouts(out, message.rollouts);
    append_sessions(out, message.sessions);
    append_members(out, message.members);
    append_compact_members(out, message.compact_members);
    return out;
}

std::optional<heartbeat_message> decode_heartbeat(std::string_view bytes) {
    byte_reader reader{bytes};
    if (core::read_byte(reader) != heartbeat_format) {
        return std::nullopt;
    }
    heartbeat_message message;
    message.sender = read_member(reader);
    message.stamp = core::read_signed(reader);
    if (core::read_byte(reader) != 0) {
        message.echoed_stamp = core::read_signed(reader);
        message.echo_held = std::chrono::microseconds(core::read_signed(reader));
    }
    for (auto& claim : message.documents) {
        claim.at = state::unpack_position(core::read_varint(reader));
        claim.hash = core::read_fixed64(reader);
        claim.age = read_age(reader);
    }
    message.uses = read_uses(reader);
    read_trials(reader, message.trials);
    read_crashes(reader, message.crashes);
    read_rollouts(reader, message.rollouts);
    read_sessions(reader, message.sessions);
    read_members(reader, message.members);
    read_compact_members(reader, message.compact_members);
    return core::is_complete(reader) ? std::make_optional(std::move(message)) : std::nullopt;
}

} // namespace figspoke::relay
