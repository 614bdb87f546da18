#pragma once

#include <string>
#include <string_view>

#include "core/error.h"

namespace figspoke::state {

/// Contents of a conversation token: pins a conversation to one model version.
struct conversation_pin {
    std::string account;
    std::string conversation;
    /// `name@version`.
    std::string version;
};

/// Encodes and signs a pin as a token that is safe in an HTTP header: `v1`, the fields in hexadecimal and an
/// HMAC-SHA-256, separated by dots.
std::string sign_conversation_token(std::string_view secret, const conversation_pin& pin);

/// Verifies a token of the account and returns its pin. Fails with `bad_request` if the token is malformed,
/// not signed with the secret or issued to another account.
core::result<conversation_pin> verify_conversation_token(std::string_view secret, std::string_view account,
                                                         std::string_view token);

} // namespace figspoke::state
