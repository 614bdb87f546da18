#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "adapters/http_server.h"
#include "core/error.h"

namespace figspoke::node {

/// What a chat answer's headers say.
struct chat_answer_head {
    std::string request_id;
    std::string version;
    std::string conversation_token;
};

/// Writes a chat answer to the caller, as server-sent events or whole. A whole answer is kept until its end.
class chat_writer {
  public:
    chat_writer(adapters::http_exchange& exchange, bool stream) : exchange_(exchange), stream_(stream) {}

    /// Keeps a copy of the whole answer and goes on when the caller is gone, so that a repeat can have it.
    void keep_answer() { keeps_answer_ = true; }

    /// The whole answer, once `finish` was called.
    const adapters::http_reply& kept_answer() const { return kept_; }

    /// Sets the headers; they go out with the first token.
    void set_head(chat_answer_head head) { head_ = std::move(head); }

    /// Sends or keeps one token. Returns false where the caller is gone or reads too slowly.
    bool add_token(std::string_view text);

    /// Ends the answer with its usage. Returns false where the caller is gone.
    bool finish(std::int64_t prompt_tokens, std::int64_t tokens, std::int64_t cost_micros,
                const std::string& finish_reason);

    /// Reports an error: as an event where the stream has begun, else as a whole answer.
    void fail(const core::error& cause, const std::vector<std::string>& addresses = {});

    /// The text of the answer so far.
    const std::string& text() const { return text_; }

  private:
    bool begin();
    bool write_event(const std::string& data);

    adapters::http_exchange& exchange_;
    bool stream_;
    bool begun_ = false;
    bool keeps_answer_ = false;
    bool caller_gone_ = false;
    adapters::http_reply kept_;
    chat_answer_head head_;
    std::string text_;
};

} // namespace figspoke::node
