#include "policy/answer_check.h"

#include <algorithm>
#include <array>
#include <string>

#include <nlohmann/json.hpp>

namespace figspoke::policy {
namespace {

// Openings with which engines decline a task. Only the start of an answer is searched: a quotation
// further down is no refusal.
constexpr std::array<std::string_view, 5> refusals = {"i can't", "i cannot", "i'm unable", "i am unable",
                                                      "i'm sorry"};
constexpr std::size_t refusal_start = 80;

// The last 60 bytes occurring 4 times in the answer are a decoding loop; tables repeat shorter parts.
constexpr std::size_t loop_length = 60;
constexpr int loop_repeats = 4;

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool declines(std::string_view text) {
    std::string start(text.substr(0, refusal_start));
    std::transform(start.begin(), start.end(), start.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return std::any_of(refusals.begin(), refusals.end(),
                       [&](std::string_view refusal) { return start.find(refusal) != std::string::npos; });
}

bool loops(std::string_view text) {
    if (text.size() < loop_length * loop_repeats) {
        return false;
    }
    const auto tail = text.substr(text.size() - loop_length);
    int repeats = 0;
    for (auto at = text.find(tail); at != std::string_view::npos; at = text.find(tail, at + loop_length)) {
        ++repeats;
    }
    return repeats >= loop_repeats;
}

} // namespace

bool is_flagged(const answer_facts& answer) {
    const auto text = trimmed(answer.text);
    if (text.empty() || answer.cut_short || declines(text) || loops(text)) {
        return true;
    }
    return answer.wants_json && !nlohmann::json::accept(text);
}

} // namespace figspoke::policy
