#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/time.h"
#include "state/shared_document.h"

namespace figspoke::relay {

/// The items of a document, compressed, as peers fetch them. Made once for each content.
struct packed_document {
    std::uint64_t hash = 0;
    std::string items;
};

/// Compresses the items of a document.
packed_document pack_document(const state::document_content& content);

/// Renders a document with the age of its confirmation. `packed` holds the items of the content.
std::string encode_document(const state::document_content& content, const packed_document& packed,
                            core::milliseconds age);

/// Parses a document; empty where the bytes aren't one.
std::optional<std::pair<state::document_content, core::milliseconds>> decode_document(std::string_view bytes);

} // namespace figspoke::relay
