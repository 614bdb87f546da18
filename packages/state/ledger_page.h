#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "state/charge.h"
#include "state/journal_shard.h"

namespace figspoke::state {

/// A sealed part of a shard's ledger, written once to the key `figspoke/ledger/<shard>/<page>`.
///
/// A page belongs to the ledger once the shard's `next_page` is greater than its number; until then its
/// charges are still open in the shard. Every owner builds the page from the oldest open charges, so it does
/// not matter whose create-only write takes effect. An export must therefore read only pages below
/// `next_page`, and must discard a page whose key version is above 1: that is a delayed write by a former
/// owner that arrived after the page was exported and removed.
struct ledger_page {
    std::uint32_t shard = 0;
    /// Number of the page, starting at 1.
    std::uint64_t page = 0;
    std::vector<charge> charges;
};

/// Builds page `next_page` from the oldest open charges: at most `max_charges` of them and about 512 KB.
ledger_page make_ledger_page(std::uint32_t shard, const journal_shard& value, std::size_t max_charges);

/// Removes the charges of a written page from the shard and advances `next_page`. Does nothing if the page is
/// not number `next_page`.
void remove_sealed_charges(journal_shard& value, const ledger_page& page);

/// Encodes a page as the text that is stored in the key-value service.
std::string encode_ledger_page(const ledger_page& value);

/// Decodes a page; fails with `internal` and names the invalid field.
core::result<ledger_page> decode_ledger_page(std::string_view text);

} // namespace figspoke::state
