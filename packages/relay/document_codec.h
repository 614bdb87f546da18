#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "state/shared_document.h"

namespace figspoke::relay {

/// The compressed items of a document, as peers fetch them.
struct packed_document {
    std::uint64_t hash = 0;
    /// The latest revision of an item. Items may have later revisions in a content of the same hash.
    std::uint64_t revision = 0;
    std::string items;
};

/// Compresses the items of a document.
packed_document pack_document(const state::document_content& content);

/// Returns whether a packed document holds the items of a content.
bool holds_items(const packed_document& packed, const state::document_content& content);

/// Encodes a document and the age of its confirmation. `packed` holds the content's items.
std::string encode_document(const state::document_content& content, const packed_document& packed,
                            core::milliseconds age);

/// Decodes a document and the age of its confirmation; empty if the bytes are not a valid one.
std::optional<std::pair<state::document_content, core::milliseconds>> decode_document(std::string_view bytes);

} // namespace figspoke::relay
