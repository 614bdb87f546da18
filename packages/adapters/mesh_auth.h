#pragma once

#include <string>
#include <string_view>

namespace figspoke::adapters {

/// Both sides of a link under authentication.
struct link_identity {
    std::string dialler;
    std::string acceptor;
    std::string dialler_nonce;
    std::string acceptor_nonce;
};

enum class link_role { dialler, acceptor };

/// Returns a new nonce: 16 random bytes in hexadecimal.
std::string make_nonce();

/// Tells whether a peer's nonce is well-formed and not the own one sent back.
bool is_valid_nonce(std::string_view nonce, std::string_view own);

/// Returns the proof of one side: an HMAC under the shared secret over its role, both ids and both nonces.
std::string make_proof(const std::string& secret, link_role role, const link_identity& identity);

} // namespace figspoke::adapters
