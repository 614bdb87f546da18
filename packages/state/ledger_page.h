#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "state/charge.h"
#include "state/journal_shard.h"

namespace figspoke::state {

/// A sealed part of a shard's ledger, written once under `figspoke/ledger/<shard>/<page>`.
///
/// A page belongs to the ledger once the shard's `next_page` is above its number; until then its charges are
/// still open in the shard. Every owner builds the same page from the front of the open charges, so it does
/// not matter whose create-only write takes effect. An export must therefore take only pages below
/// `next_page`, and discard a page whose key version is above 1: that is a delayed write of a former owner
/// that arrived after the page was exported and removed.
struct ledger_page {
    std::uint32_t shard = 0;
    std::uint64_t page = 0;
    std::vector<charge> charges;
};

/// Builds page `next_page` from the oldest open charges, at most `max_charges` and about 512 KB of them.
ledger_page make_ledger_page(std::uint32_t shard, const journal_shard& value, std::size_t max_charges);

/// Removes the charges of a written page from the shard and advances `next_page`; does nothing where the
/// page is not `next_page`.
void remove_sealed_charges(journal_shard& value, const ledger_page& page);

/// Encodes a page as the text that the key-value service holds.
std::string encode_ledger_page(const ledger_page& value);

/// Decodes a page; fails with `internal`, naming the field.
core::result<ledger_page> decode_ledger_page(std::string_view text);

} // namespace figspoke::state
