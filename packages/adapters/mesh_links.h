#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/mesh.h"
#include "adapters/mesh_auth.h"
#include "core/time.h"

namespace figspoke::adapters {

/// One connection of a mesh.
struct mesh_link {
    std::uint64_t id = 0;
    bool dialled = false;
    /// For a dialled link, whom it was meant for.
    mesh_peer wanted;
    std::string own_nonce;
    std::string peer;
    std::string peer_nonce;
    bool authenticated = false;
    bool standing = false;
    /// Another link to the same peer took its place; it only finishes its calls.
    bool retired = false;
    /// Nothing more is sent; the connection is about to end.
    bool closing = false;
    core::steady_time created;
    core::steady_time last_in;
    core::steady_time last_ping;
    core::steady_time last_call;
    /// Calls that wait for a reply on this link or for its authentication.
    std::set<std::uint64_t> calls;
};

/// A peer that a standing link is kept to.
struct mesh_target {
    mesh_peer peer;
    /// The dialled connection, while there is one.
    std::uint64_t link = 0;
    core::milliseconds backoff{0};
    core::steady_time next_dial;
};

/// Tells whether a new link takes the place of an older one to the same peer. Both sides decide alike.
bool replaces(const mesh_link& newer, const mesh_link& older, const std::string& self);

/// The identity of both sides, once the peer's hello is known.
link_identity identity_of(const mesh_link& link, const std::string& self);

/// Sets the target's next time to dial after a failure: the backoff doubles and is jittered.
void back_off(mesh_target& target, const mesh_limits& limits, std::minstd_rand& random,
              core::steady_time now);

/// What the passing of time demands of a link.
enum class link_duty { none, ping, close };

/// Judges a link by its times: handshake, silence, idleness and retirement.
link_duty duty_of(const mesh_link& link, const mesh_limits& limits, core::steady_time now);

} // namespace figspoke::adapters
