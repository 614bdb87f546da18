#include "state/store_position.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace figspoke::state {
namespace {

// An intermediary may deliver a few late answers.
constexpr int max_late_answers = 2;
constexpr int detected_shift = 40;
constexpr int stated_shift = 48;

auto fields_of(const store_era& era) {
    return std::tie(era.stated, era.detected);
}

auto fields_of(const store_position& position) {
    return std::tie(position.era.stated, position.era.detected, position.revision);
}

} // namespace

bool operator==(const store_era& a, const store_era& b) {
    return fields_of(a) == fields_of(b);
}

bool operator!=(const store_era& a, const store_era& b) {
    return !(a == b);
}

bool operator<(const store_era& a, const store_era& b) {
    return fields_of(a) < fields_of(b);
}

bool operator==(const store_position& a, const store_position& b) {
    return fields_of(a) == fields_of(b);
}

bool operator!=(const store_position& a, const store_position& b) {
    return !(a == b);
}

bool operator<(const store_position& a, const store_position& b) {
    return fields_of(a) < fields_of(b);
}

std::uint64_t pack_position(const store_position& position) {
    return (std::uint64_t(position.era.stated) << stated_shift) |
           (std::uint64_t(position.era.detected) << detected_shift) |
           std::min(position.revision, max_packed_revision);
}

store_position unpack_position(std::uint64_t packed) {
    store_position position;
    position.era.stated = std::uint16_t(packed >> stated_shift);
    position.era.detected = std::uint8_t(packed >> detected_shift);
    position.revision = packed & max_packed_revision;
    return position;
}

std::optional<std::uint16_t> accept_statement(lower_statements& lower, const store_position& known_when_sent,
                                              std::optional<std::uint16_t> stated) {
    if (!stated) {
        return std::nullopt;
    }
    if (*stated >= known_when_sent.era.stated) {
        lower.in_a_row = 0;
        return stated;
    }
    lower.in_a_row = std::min(lower.in_a_row + 1, max_late_answers + 1);
    return lower.in_a_row > max_late_answers ? std::nullopt : stated;
}

bool raise_position(store_position& known, const store_position& seen) {
    if (!(known < seen)) {
        return false;
    }
    const bool is_return = known != store_position{} && known.era < seen.era;
    known = seen;
    return is_return;
}

answer_era classify_answer(const store_position& known, std::optional<std::uint16_t> stated,
                           std::optional<std::uint64_t> revision) {
    const auto number = stated.value_or(known.era.stated);
    if (number > known.era.stated) {
        // The first answer that states a number is no return: the node knew of no era before.
        const bool first = known == store_position{};
        return {first ? answer_age::same_era : answer_age::new_era, {number, 0}};
    }
    if (number < known.era.stated) {
        return {answer_age::outdated, known.era};
    }
    // The store is linearizable: an answer to a later call with a lower revision shows that it lost some.
    if (revision && *revision < known.revision) {
        if (known.era.detected == std::numeric_limits<std::uint8_t>::max()) {
            return {answer_age::outdated, known.era};
        }
        return {answer_age::new_era, {number, std::uint8_t(known.era.detected + 1)}};
    }
    return {answer_age::same_era, known.era};
}

answer_era classify_arrival(const store_position& known_when_sent, const store_position& known_now,
                            std::optional<std::uint16_t> stated, std::optional<std::uint64_t> revision) {
    const auto answer = classify_answer(known_when_sent, stated, revision);
    return answer.era < known_now.era ? answer_era{answer_age::outdated, known_now.era} : answer;
}

} // namespace figspoke::state
