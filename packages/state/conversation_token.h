#pragma once

#include <string>
#include <string_view>

#include "core/error.h"

namespace figspoke::state {

/// What a conversation token says: the conversation keeps its version.
struct conversation_pin {
    std::string account;
    std::string conversation;
    /// `name@version`.
    std::string version;
};

/// Signs a pin as a token that is safe in a header: `v1`, the fields in hexadecimal and an HMAC-SHA-256.
std::string sign_conversation_token(std::string_view secret, const conversation_pin& pin);

/// Checks a token of the account and returns its pin. Fails with `bad_request` where the token is malformed,
/// not signed under the secret or of another account.
core::result<conversation_pin> verify_conversation_token(std::string_view secret, std::string_view account,
                                                         std::string_view token);

} // namespace figspoke::state
