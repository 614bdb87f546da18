#include "policy/answer_check.h"

#include <algorithm>
#include <array>
#include <string>

#include <nlohmann/json.hpp>

namespace figspoke::policy {
namespace {

// Phrases with which engines refuse a task. Only the start of an answer is searched, since a phrase further
// down may be a quotation.
constexpr std::array<std::string_view, 5> refusal_phrases = {"i can't", "i cannot", "i'm unable",
                                                             "i am unable", "i'm sorry"};
constexpr std::size_t refusal_search_bytes = 80;

// An answer whose last 60 bytes occur 4 times in it is in a decoding loop. Tables repeat shorter sequences.
constexpr std::size_t loop_bytes = 60;
constexpr int min_loop_repeats = 4;

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool is_refusal(std::string_view text) {
    std::string start(text.substr(0, refusal_search_bytes));
    std::transform(start.begin(), start.end(), start.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return std::any_of(refusal_phrases.begin(), refusal_phrases.end(),
                       [&](std::string_view phrase) { return start.find(phrase) != std::string::npos; });
}

bool ends_in_loop(std::string_view text) {
    if (text.size() < loop_bytes * min_loop_repeats) {
        return false;
    }
    const auto tail = text.substr(text.size() - loop_bytes);
    int repeats = 0;
    for (auto position = text.find(tail); position != std::string_view::npos;
         position = text.find(tail, position + loop_bytes)) {
        ++repeats;
    }
    return repeats >= min_loop_repeats;
}

} // namespace

bool is_flagged(const answer_check_input& answer) {
    const auto text = trimmed(answer.text);
    if (text.empty() || answer.truncated || is_refusal(text) || ends_in_loop(text)) {
        return true;
    }
    return answer.wants_json && !nlohmann::json::accept(text);
}

} // namespace figspoke::policy
