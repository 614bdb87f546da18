#pragma once

#include <string_view>

namespace figspoke::policy {

/// What is known of a whole answer without judging its content.
struct answer_facts {
    std::string_view text;
    /// Whether the answer stopped at a length limit that the caller did not set.
    bool cut_short = false;
    /// Whether the caller asked for a JSON object.
    bool wants_json = false;
};

/// Tells whether an answer of a cascade's first step should be escalated: it is empty, cut short, isn't the
/// JSON that was asked for, declines the task or repeats itself. The share of good and bad answers that it
/// flags is estimated from ratings; see `estimate_cascade`.
bool is_flagged(const answer_facts& answer);

} // namespace figspoke::policy
