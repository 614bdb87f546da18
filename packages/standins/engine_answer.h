#pragma once

#include <string>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace figspoke::standins {

/// A chat request as the engine reads it.
struct chat_request {
    std::string version;
    /// The messages as one text, from which prefixes are cached.
    std::string prompt;
    bool stream = false;
    bool alone = false;
    int priority = 1;
    int resume_from = 0;
    int max_tokens = 1 << 20;
    /// Identifies the answer's text; equal for a request and its resumption.
    std::string answer_key;
};

/// The bounds of an answer's length in tokens.
struct answer_length {
    int least = 16;
    int most = 64;
};

/// Parses a request body; the error names the field.
tl::expected<chat_request, std::string> parse_chat(const std::string& body);

/// Returns the number of tokens of the whole answer, from its first token.
int token_count(const chat_request& request, const answer_length& length);

/// Returns the text of one token. A wrong answer's tokens contain "wrong".
std::string token_text(const chat_request& request, int index, bool wrong);

/// Returns the number of tokens in the prompt.
int prompt_tokens(const chat_request& request);

/// Returns the body of a whole answer whose tokens are [first, last).
nlohmann::json whole_answer(const chat_request& request, int first, int last, bool wrong, bool cut);

/// Returns a server-sent event with one token of an answer. `finish_reason` is null but for the last token.
std::string token_event(const chat_request& request, int index, bool wrong, const char* finish_reason);

/// Returns the last events of a stream: usage and the end mark.
std::string closing_events(const chat_request& request, int generated);

} // namespace figspoke::standins
