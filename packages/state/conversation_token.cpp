#include "state/conversation_token.h"

#include <optional>
#include <vector>

#include "core/hash.h"

namespace figspoke::state {
namespace {

constexpr std::string_view token_format = "v1";
// Much larger than any issued token; limits the work that a forged token can cause.
constexpr std::size_t max_token_bytes = 4096;

std::string to_hex(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(text.size() * 2);
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xfU]);
    }
    return hex;
}

std::optional<unsigned> hex_digit_value(char c) {
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<unsigned>(c - 'a') + 10U;
    }
    return std::nullopt;
}

std::optional<std::string> from_hex(std::string_view hex) {
    if (hex.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string text;
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        const auto high = hex_digit_value(hex[i]);
        const auto low = hex_digit_value(hex[i + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        text.push_back(static_cast<char>((*high << 4U) | *low));
    }
    return text;
}

// The prefix separates domains: a signature made with the same secret for another purpose is not accepted.
std::string compute_signature(std::string_view secret, std::string_view payload) {
    std::string text("figspoke conversation ");
    text.append(payload);
    return core::hmac_sha256_hex(secret, text);
}

std::vector<std::string_view> split(std::string_view text) {
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    for (std::size_t dot = text.find('.'); dot != std::string_view::npos; dot = text.find('.', start)) {
        parts.push_back(text.substr(start, dot - start));
        start = dot + 1;
    }
    parts.push_back(text.substr(start));
    return parts;
}

tl::unexpected<core::error> reject_token(std::string problem) {
    return core::fail(core::error_kind::bad_request, "conversation token " + std::move(problem));
}

} // namespace

std::string sign_conversation_token(std::string_view secret, const conversation_pin& pin) {
    std::string payload(token_format);
    for (const std::string* field : {&pin.account, &pin.conversation, &pin.version}) {
        payload.append(".").append(to_hex(*field));
    }
    return payload + "." + compute_signature(secret, payload);
}

core::result<conversation_pin> verify_conversation_token(std::string_view secret, std::string_view account,
                                                         std::string_view token) {
    if (token.size() > max_token_bytes) {
        return reject_token("is longer than " + std::to_string(max_token_bytes) + " bytes");
    }
    const auto parts = split(token);
    if (parts.front() != token_format) {
        return reject_token("has an unknown format; expected " + std::string(token_format));
    }
    if (parts.size() != 5) {
        return reject_token("does not have 5 parts");
    }
    const std::string_view payload = token.substr(0, token.size() - parts[4].size() - 1);
    if (secret.empty() || !core::constant_time_equal(compute_signature(secret, payload), parts[4])) {
        return reject_token("has a signature that does not match");
    }
    const auto token_account = from_hex(parts[1]);
    const auto conversation = from_hex(parts[2]);
    const auto version = from_hex(parts[3]);
    if (!token_account || !conversation || !version) {
        return reject_token("contains a field that is not hexadecimal");
    }
    if (*token_account != account) {
        return reject_token("belongs to another account");
    }
    return conversation_pin{*token_account, *conversation, *version};
}

} // namespace figspoke::state
