#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "state/member_digest.h"

namespace figspoke::adapters {

/// First message of either side of a link.
struct hello_message {
    std::string nonce;
    /// Whether the dialler keeps the link, as opposed to one for calls that it closes when idle.
    bool standing = false;
};

/// Proof that the sender knows the shared secret: an HMAC over both nonces.
struct proof_message {
    std::string hmac;
};

/// Members and table age.
struct digest_message {
    state::member_digest digest;
};

/// The whole configuration table, as the key-value service holds it. Here and below `revision` is a packed
/// position (state/table_freshness.h).
struct table_message {
    std::uint64_t revision = 0;
    std::string text;
};

/// Asks for the configuration table where the receiver's revision is above `revision`.
struct table_get_message {
    std::uint64_t revision = 0;
};

/// The roster as the key-value service holds it.
struct roster_message {
    std::uint64_t version = 0;
    std::string text;
};

/// Asks for the roster where the receiver's version is above `version`.
struct roster_get_message {
    std::uint64_t version = 0;
};

/// Request of a remote call. The body is opaque to the mesh.
struct rpc_message {
    std::uint64_t id = 0;
    std::string method;
    std::string body;
};

/// Reply of a remote call; `error` is empty where it succeeded.
struct rpc_reply_message {
    std::uint64_t id = 0;
    std::string error;
    std::string body;
};

/// Evidence that nodes pass on to each other: counts of versions, ratings and crashes. The body is opaque to
/// the mesh.
struct report_message {
    std::string body;
};

/// Every message of the mesh. `std::monostate` stands for one of an unknown type, which is ignored.
using mesh_message = std::variant<std::monostate, hello_message, proof_message, digest_message, table_message,
                                  table_get_message, roster_message, roster_get_message, rpc_message,
                                  rpc_reply_message, report_message>;

} // namespace figspoke::adapters
