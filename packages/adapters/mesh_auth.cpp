#include "adapters/mesh_auth.h"

#include "core/hash.h"

namespace figspoke::adapters {
namespace {

constexpr std::size_t nonce_bytes = 16;

// The length before each part keeps different splits of the same text apart.
void add_part(std::string& text, std::string_view part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

std::string make_nonce() {
    return core::random_hex(nonce_bytes);
}

bool is_valid_nonce(std::string_view nonce, std::string_view own) {
    return nonce.size() == 2 * nonce_bytes && nonce != own;
}

std::string make_proof(const std::string& secret, link_role role, const link_identity& identity) {
    // The role keeps one side's proof from being sent back as the other's.
    std::string text = role == link_role::dialler ? "figspoke mesh dialler " : "figspoke mesh acceptor ";
    add_part(text, identity.dialler);
    add_part(text, identity.acceptor);
    add_part(text, identity.dialler_nonce);
    add_part(text, identity.acceptor_nonce);
    return core::hmac_sha256_hex(secret, text);
}

} // namespace figspoke::adapters
