#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace figspoke::policy {

/// Outcomes of the requests to one version of a service, as totals since the start of a process.
struct version_counts {
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    /// Failures that the upstream answered or caused, such as error answers and broken connections.
    std::uint64_t bad = 0;
    /// Sum of the times to the first byte of good answers, in milliseconds.
    std::uint64_t first_byte_ms = 0;
};

/// Service and version.
using version_key = std::pair<std::string, std::string>;
using version_counts_table = std::map<version_key, version_counts>;

/// Adds `more` to `total`.
inline void add_counts(version_counts& total, const version_counts& more) {
    total.sent += more.sent;
    total.good += more.good;
    total.bad += more.bad;
    total.first_byte_ms += more.first_byte_ms;
}

} // namespace figspoke::policy
