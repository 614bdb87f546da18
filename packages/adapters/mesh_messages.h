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

/// The whole configuration table, as the key-value service holds it.
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

/// Running totals of one node for one version. Totals of a higher incarnation or count replace earlier ones.
struct version_evidence {
    std::string node;
    std::uint64_t incarnation = 0;
    std::string version;
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    std::uint64_t ratings = 0;
    std::uint64_t ratings_passed = 0;
};

struct evidence_message {
    std::vector<version_evidence> totals;
};

/// Crashes attributed to a request by one node.
struct crash_suspect {
    std::string node;
    std::string fingerprint;
    std::uint64_t crashes = 0;
};

struct suspects_message {
    std::vector<crash_suspect> suspects;
};

/// What a node needs and may use of an account's fleet-wide limit. A grant runs on the receiver's steady
/// clock from its arrival, for `valid`.
struct rate_share {
    std::string account;
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    double demand = 0;
    double grant = 0;
    core::milliseconds valid{0};
};

struct shares_message {
    std::vector<rate_share> shares;
};

/// Every message of the mesh. `std::monostate` stands for one of an unknown type, which is ignored.
using mesh_message = std::variant<std::monostate, hello_message, proof_message, digest_message, table_message,
                                  table_get_message, roster_message, roster_get_message, rpc_message,
                                  rpc_reply_message, evidence_message, suspects_message, shares_message>;

} // namespace figspoke::adapters
