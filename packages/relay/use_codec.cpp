#include "relay/use_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figspoke::relay {
namespace {

// Longer ages are not plausible and could overflow when they are subtracted from a time.
constexpr core::milliseconds max_age{std::chrono::hours(24 * 366)};
constexpr double pending_steps_per_ms = 10;
// Fewest bytes of an upstream's id and use, which bound the number of uses that a message can announce.
constexpr std::size_t min_use_bytes = 8;
// Upper limit of an encoded pending time; the sums of a whole fleet stay far below it.
constexpr double max_pending_steps = 1e15;

std::uint64_t pending_steps(double ms) {
    return std::uint64_t(std::clamp(std::round(ms * pending_steps_per_ms), 0.0, max_pending_steps));
}

} // namespace

void append_age(std::string& out, core::milliseconds age) {
    core::append_varint(out, std::uint64_t(std::max<std::int64_t>(age.count(), 0)));
}

core::milliseconds read_age(core::byte_reader& reader) {
    const auto count = core::read_varint(reader);
    if (count > std::uint64_t(max_age.count())) {
        reader.is_valid = false;
        return core::milliseconds(0);
    }
    return core::milliseconds(std::int64_t(count));
}

void append_use(std::string& out, const policy::upstream_use& use) {
    core::append_signed(out, use.requests);
    core::append_signed(out, use.tokens);
    for (const double ms : use.pending) {
        core::append_varint(out, pending_steps(ms));
    }
    out.push_back(use.silence ? '\1' : '\0');
    if (use.silence) {
        append_age(out, *use.silence);
    }
}

policy::upstream_use read_use(core::byte_reader& reader) {
    policy::upstream_use use;
    const auto requests = core::read_signed(reader);
    reader.is_valid = reader.is_valid && requests >= std::numeric_limits<int>::min() &&
                      requests <= std::numeric_limits<int>::max();
    use.requests = int(requests);
    use.tokens = core::read_signed(reader);
    for (double& ms : use.pending) {
        ms = std::min(double(core::read_varint(reader)), max_pending_steps) / pending_steps_per_ms;
    }
    if (core::read_byte(reader) != 0) {
        use.silence = read_age(reader);
    }
    return use;
}

void append_uses(std::string& out, const std::map<std::string, policy::upstream_use>& uses) {
    core::append_varint(out, uses.size());
    for (const auto& [upstream, use] : uses) {
        core::append_text(out, upstream);
        append_use(out, use);
    }
}

std::map<std::string, policy::upstream_use> read_uses(core::byte_reader& reader) {
    std::map<std::string, policy::upstream_use> uses;
    for (auto left = core::read_count(reader, min_use_bytes); left > 0 && reader.is_valid; --left) {
        std::string upstream(core::read_text(reader));
        uses[std::move(upstream)] = read_use(reader);
    }
    return uses;
}

} // namespace figspoke::relay
