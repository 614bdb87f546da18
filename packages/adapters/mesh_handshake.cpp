#include "adapters/mesh_impl.h"
#include "core/hash.h"

namespace figspoke::adapters {

void mesh::impl::handshake(mesh_link& link, const mesh_envelope& envelope) {
    if (const auto* hello = std::get_if<hello_message>(&envelope.message)) {
        take_hello(link, envelope.from, *hello);
    } else if (const auto* proof = std::get_if<proof_message>(&envelope.message)) {
        take_proof(link, *proof);
    } else {
        refuse(link);
    }
}

void mesh::impl::take_hello(mesh_link& link, const std::string& from, const hello_message& hello) {
    const bool is_other = link.dialled && !link.wanted.id.empty() && link.wanted.id != from;
    if (!link.peer.empty() || from.empty() || from == settings_.node_id || is_other ||
        !is_valid_nonce(hello.nonce, link.own_nonce)) {
        refuse(link);
        return;
    }
    link.peer = from;
    link.peer_nonce = hello.nonce;
    if (link.dialled) {
        const auto proof =
            make_proof(settings_.secret, link_role::dialler, identity_of(link, settings_.node_id));
        transmit(link, encode_message(settings_.node_id, proof_message{proof}));
    } else {
        link.standing = hello.standing;
    }
}

// The dialler proves first, so that strangers who connect get no proof to work on.
void mesh::impl::take_proof(mesh_link& link, const proof_message& proof) {
    const auto identity = identity_of(link, settings_.node_id);
    const auto peer_role = link.dialled ? link_role::acceptor : link_role::dialler;
    if (link.peer.empty() ||
        !core::constant_time_equal(proof.hmac, make_proof(settings_.secret, peer_role, identity))) {
        refuse(link);
        return;
    }
    if (!link.dialled) {
        const auto own = make_proof(settings_.secret, link_role::acceptor, identity);
        transmit(link, encode_message(settings_.node_id, proof_message{own}));
    }
    authenticated(link);
}

void mesh::impl::authenticated(mesh_link& link) {
    link.authenticated = true;
    link.last_call = link.last_in;
    ++counters_.links_opened;
    for (auto& target : targets_) {
        if (target.link == link.id) {
            target.backoff = core::milliseconds(0);
        }
    }
    const auto current = by_peer_.find(link.peer);
    mesh_link* older = current == by_peer_.end() ? nullptr : find_link(current->second);
    if (older != nullptr && !replaces(link, *older, settings_.node_id)) {
        link.retired = true;
    } else {
        by_peer_[link.peer] = link.id;
        if (older != nullptr) {
            older->retired = true;
            older->last_call = link.last_in;
            announce(*older, false);
        }
        announce(link, true);
    }
    for (const auto call : link.calls) {
        send_call(link, call);
    }
}

void mesh::impl::refuse(mesh_link& link) {
    ++counters_.refused;
    link.closing = true;
    transport_->close(link.id);
}

} // namespace figspoke::adapters
