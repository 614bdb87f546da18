#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "state/shared_document.h"
#include "state/upstream_registry.h"

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

/// Times since `confirmed_at` and `current_at` of a document.
struct document_ages {
    core::milliseconds confirmed{0};
    core::milliseconds current{0};
};

/// Returns the ages of a document that has content.
document_ages ages_of(const state::shared_document& document, core::steady_time now);

/// A document that a peer has sent. The versions of its items aren't set.
struct received_document {
    state::document_content content;
    document_ages ages;
    /// Entries of the registry that the peer holds back.
    std::vector<state::told_held_entry> held_back;
};

/// Encodes a document, its ages and, of the registry, the entries that this node holds back. `packed` holds
/// the content's items.
std::string encode_document(const state::document_content& content, const packed_document& packed,
                            const document_ages& ages,
                            const std::vector<state::told_held_entry>& held_back = {});

/// Decodes a document and its ages; empty if the bytes are not a valid one.
std::optional<received_document> decode_document(std::string_view bytes);

} // namespace figspoke::relay
