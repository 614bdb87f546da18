#pragma once

#include <cstdint>
#include <string>

#include "core/error.h"

namespace figspoke::node {

/// The parts of a chat request's body that routing depends on.
struct chat_request {
    /// `auto`, a model, or a version `model@version`.
    std::string model = "auto";
    bool stream = false;
    std::int64_t max_tokens = 512;
    /// Estimated from the length of the messages, four bytes a token.
    std::int64_t prompt_tokens = 0;
    /// The first bytes of the conversation, which decide the engine whose cache may hold it.
    std::string prompt_prefix;
    /// The body as the caller sent it.
    std::string body;
};

/// Parses the JSON body of a chat request; fails with `bad_request`, naming the field.
core::result<chat_request> parse_chat_request(const std::string& body);

} // namespace figspoke::node
