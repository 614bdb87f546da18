#pragma once

#include <string_view>

namespace figspoke::policy {

/// Input of the answer check: a complete answer and how it was requested and ended.
struct answer_check_input {
    std::string_view text;
    /// Whether the answer was truncated at a length limit that the caller did not set.
    bool truncated = false;
    /// Whether the caller asked for a JSON object.
    bool wants_json = false;
};

/// Returns whether a cascade should escalate the answer of its first step: the answer is empty, truncated, a
/// refusal, ends in a repetition loop or isn't the JSON that was asked for. `estimate_cascade` estimates from
/// ratings which shares of the good and of the bad answers are flagged.
bool is_flagged(const answer_check_input& answer);

} // namespace figspoke::policy
