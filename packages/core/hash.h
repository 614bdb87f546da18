#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figspoke::core {

/// Returns the SHA-256 digest of the text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// Returns HMAC-SHA-256 of the text under the key, in lower-case hexadecimal.
std::string hmac_sha256_hex(std::string_view key, std::string_view text);

/// Compares two texts in time that depends on their lengths only.
bool constant_time_equal(std::string_view a, std::string_view b);

/// Returns a 64-bit hash of the text that is the same on every machine.
std::uint64_t stable_hash(std::string_view text);

/// Returns the candidates in rendezvous order for the key: the winner first. Removing a candidate
/// moves only the keys that it had won.
std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates);

/// Returns the positions of the names in rendezvous order for the key.
std::vector<std::size_t> rendezvous_positions(std::string_view key,
                                              const std::vector<std::string_view>& names);

/// Returns records in the rendezvous order of their names, which `name_of` reads from a record.
template <class Record, class NameOf>
std::vector<const Record*> rendezvous_order(std::string_view key, const std::vector<const Record*>& records,
                                            NameOf name_of) {
    std::vector<std::string_view> names;
    names.reserve(records.size());
    for (const auto* record : records) {
        names.push_back(name_of(*record));
    }
    std::vector<const Record*> ordered;
    ordered.reserve(records.size());
    for (const auto position : rendezvous_positions(key, names)) {
        ordered.push_back(records[position]);
    }
    return ordered;
}

/// Returns `bytes` random bytes in hexadecimal from the system's generator.
std::string random_hex(std::size_t bytes);

} // namespace figspoke::core
