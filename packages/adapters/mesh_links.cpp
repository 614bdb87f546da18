#include "adapters/mesh_links.h"

#include <algorithm>

namespace figspoke::adapters {
namespace {

// A retired link stays this long, so that replies that are on their way still arrive.
constexpr core::milliseconds retired_time{1000};

// Pings within the silence limit; one may be late or lost without closing the link.
constexpr int pings_per_silence = 3;

const std::string& dialler_of(const mesh_link& link, const std::string& self) {
    return link.dialled ? self : link.peer;
}

} // namespace

bool replaces(const mesh_link& newer, const mesh_link& older, const std::string& self) {
    if (newer.standing != older.standing) {
        return newer.standing;
    }
    const auto& new_dialler = dialler_of(newer, self);
    const auto& old_dialler = dialler_of(older, self);
    // A dialler that connects again has lost the older link, even if this side hasn't noticed.
    return new_dialler == old_dialler || new_dialler < old_dialler;
}

link_identity identity_of(const mesh_link& link, const std::string& self) {
    if (link.dialled) {
        return {self, link.peer, link.own_nonce, link.peer_nonce};
    }
    return {link.peer, self, link.peer_nonce, link.own_nonce};
}

void back_off(mesh_target& target, const mesh_limits& limits, std::minstd_rand& random,
              core::steady_time now) {
    target.link = 0;
    target.backoff = std::clamp(target.backoff * 2, limits.reconnect_min, limits.reconnect_max);
    // Jitter keeps the links of a failed node from being dialled in step by all its peers.
    std::uniform_int_distribution<std::int64_t> jitter(target.backoff.count() / 2, target.backoff.count());
    target.next_dial = now + core::milliseconds(jitter(random));
}

link_duty duty_of(const mesh_link& link, const mesh_limits& limits, core::steady_time now) {
    if (!link.authenticated) {
        return now - link.created > limits.handshake ? link_duty::close : link_duty::none;
    }
    if (now - link.last_in > limits.silence) {
        return link_duty::close;
    }
    const bool unused = link.calls.empty() && (link.retired || (link.dialled && !link.standing));
    const auto grace = link.retired ? retired_time : limits.idle;
    if (unused && now - link.last_call > grace) {
        return link_duty::close;
    }
    // The pong shows each side that the other is there.
    const auto interval = limits.silence / pings_per_silence;
    const bool is_quiet = now - std::max(link.last_in, link.last_ping) > interval;
    return is_quiet ? link_duty::ping : link_duty::none;
}

} // namespace figspoke::adapters
