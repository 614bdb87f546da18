#include "core/hash.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace figspoke::core {
namespace {

std::string to_hex(const unsigned char* data, std::size_t size) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(digits[data[i] >> 4U]);
        text.push_back(digits[data[i] & 0xfU]);
    }
    return text;
}

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

// The finaliser of MurmurHash3: FNV-1a alone leaves the high bits of short keys poorly mixed, which
// biases rendezvous hashing.
std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

} // namespace

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest.data(), size);
}

std::string hmac_sha256_hex(std::string_view key, std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(text), text.size(), digest.data(),
         &size);
    return to_hex(digest.data(), size);
}

bool constant_time_equal(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t stable_hash(std::string_view text) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::vector<std::size_t> rendezvous_positions(std::string_view key,
                                              const std::vector<std::string_view>& names) {
    const std::uint64_t key_hash = stable_hash(key);
    std::vector<std::uint64_t> scores;
    scores.reserve(names.size());
    for (const auto name : names) {
        scores.push_back(mix(key_hash ^ stable_hash(name)));
    }
    std::vector<std::size_t> positions(names.size());
    std::iota(positions.begin(), positions.end(), std::size_t(0));
    std::sort(positions.begin(), positions.end(), [&](std::size_t a, std::size_t b) {
        return scores[a] != scores[b] ? scores[a] > scores[b] : names[a] < names[b];
    });
    return positions;
}

std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates) {
    const std::vector<std::string_view> names(candidates.begin(), candidates.end());
    std::vector<std::string> ordered;
    ordered.reserve(candidates.size());
    for (const auto position : rendezvous_positions(key, names)) {
        ordered.push_back(std::move(candidates[position]));
    }
    return ordered;
}

std::string random_hex(std::size_t bytes) {
    std::vector<unsigned char> data(bytes);
    if (RAND_bytes(data.data(), static_cast<int>(data.size())) != 1) {
        throw std::runtime_error("the system's random number generator failed");
    }
    return to_hex(data.data(), data.size());
}

} // namespace figspoke::core
