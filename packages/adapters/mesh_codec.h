#pragma once

#include <string>
#include <string_view>

#include "adapters/mesh_messages.h"
#include "core/error.h"

namespace figspoke::adapters {

/// The version of the mesh's messages that this build sends.
inline constexpr int mesh_version = 1;

/// A message and the node that sent it.
struct mesh_envelope {
    std::string from;
    mesh_message message;
};

/// Encodes a message as a CBOR map with `v`, `type` and `from`.
std::string encode_message(const std::string& from, const mesh_message& message);

/// Decodes a message. Unknown types and fields are ignored; the `bad_request` error says what is malformed.
core::result<mesh_envelope> decode_message(std::string_view bytes);

} // namespace figspoke::adapters
