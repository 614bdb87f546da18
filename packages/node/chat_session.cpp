#include "node/chat_session.h"

namespace figspoke::node {

std::int64_t price_of(const core::model_version& version, std::int64_t prompt_tokens, std::int64_t tokens) {
    constexpr std::int64_t tokens_per_price = 1000;
    const std::int64_t scaled = prompt_tokens * version.price_in + tokens * version.price_out;
    return (scaled + tokens_per_price - 1) / tokens_per_price;
}

} // namespace figspoke::node
