#pragma once

#include <cstdint>
#include <string>

#include "core/error.h"
#include "core/table.h"
#include "core/table_commit.h"

namespace figspoke::cli {

/// The configuration table with the version of its value in the key-value service.
struct stored_table {
    core::table table;
    std::uint64_t version = 0;
};

/// Reads the table; an absent one reads as empty at version 0. Fails with `store_unavailable`, or with
/// `bad_request` where the stored value is malformed.
core::result<stored_table> read_table(const std::string& kv_address);

/// Writes the table if its value still has the expected version. Fails with `store_unavailable` where the
/// write was not sent and with `payload_too_large` where the service refuses its size.
core::result<core::write_answer> write_table(const std::string& kv_address, const core::table& table,
                                             std::uint64_t expected_version);

} // namespace figspoke::cli
