#include "adapters/mesh_impl.h"

#include <algorithm>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include "core/hash.h"

// Links and delivery. The handshake is in mesh_handshake.cpp, calls are in mesh_calls.cpp.

namespace figspoke::adapters {
namespace {

namespace asio = boost::asio;

// Timeouts of calls and links are kept to within this time.
constexpr core::milliseconds tick_period{50};

// Strangers that have not proved the secret yet; a node has far fewer peers that connect at once.
constexpr std::size_t max_unauthenticated = 128;

// A message before authentication needs no more than two ids and a nonce.
constexpr std::size_t max_handshake_bytes = 1024;

core::steady_time now() {
    return std::chrono::steady_clock::now();
}

bool is_for_target(const mesh_link& link, const mesh_target& target) {
    return target.peer.id.empty() ? link.wanted.address == target.peer.address : link.peer == target.peer.id;
}

} // namespace

mesh::impl::impl(asio::io_context& context, mesh_settings settings)
    : context_(context), settings_(std::move(settings)), strand_(asio::make_strand(context)), timer_(strand_),
      random_(static_cast<std::uint32_t>(core::stable_hash(make_nonce()))) {}

void mesh::impl::start() {
    const auto& limits = settings_.limits;
    transport_ = mesh_transport::create(context_, strand_, settings_.listen_address,
                                        {limits.message_bytes, limits.queue_bytes}, make_handlers());
    asio::post(strand_, [self = shared_from_this()] { self->schedule_tick(); });
}

transport_handlers mesh::impl::make_handlers() {
    // Weak, since the transport belongs to this object.
    const auto weak = weak_from_this();
    transport_handlers handlers;
    handlers.on_open = [weak](std::uint64_t id) {
        if (const auto self = weak.lock()) {
            self->opened(id);
        }
    };
    handlers.on_message = [weak](std::uint64_t id, const std::string& bytes) {
        if (const auto self = weak.lock()) {
            self->received(id, bytes);
        }
    };
    handlers.on_queue_full = [weak](std::uint64_t id) {
        if (const auto self = weak.lock()) {
            self->overflowed(id);
        }
    };
    handlers.on_activity = [weak](std::uint64_t id) {
        if (const auto self = weak.lock()) {
            self->touched(id);
        }
    };
    handlers.on_closed = [weak](std::uint64_t id, bool protocol_error) {
        if (const auto self = weak.lock()) {
            self->closed(id, protocol_error);
        }
    };
    return handlers;
}

void mesh::impl::stop() {
    if (stopped_) {
        return;
    }
    stopped_ = true;
    timer_.cancel();
    targets_.clear();
    links_.clear();
    by_peer_.clear();
    transport_->stop();
    while (!calls_.empty()) {
        finish(calls_.begin()->first,
               tl::make_unexpected(mesh_failure{mesh_failure::cause::link_lost, "the mesh is stopped"}));
    }
    settings_.on_message = nullptr;
    settings_.on_request = nullptr;
    settings_.on_link = nullptr;
}

mesh_counters mesh::impl::read_counters() const {
    const auto& c = counters_;
    return {c.messages_in,  c.messages_out, c.bytes_in,  c.bytes_out,
            c.links_opened, c.refused,      c.malformed, c.slow};
}

void mesh::impl::schedule_tick() {
    if (stopped_) {
        return;
    }
    timer_.expires_after(tick_period);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (self && !code) {
            self->tick();
        }
    });
}

void mesh::impl::tick() {
    const auto time = now();
    check_links(time);
    dial_targets(time);
    expire_calls(time);
    schedule_tick();
}

void mesh::impl::check_links(core::steady_time time) {
    for (auto& [id, link] : links_) {
        switch (duty_of(link, settings_.limits, time)) {
        case link_duty::none:
            break;
        case link_duty::ping:
            link.last_ping = time;
            transport_->ping(id);
            break;
        case link_duty::close:
            transport_->close(id);
            break;
        }
    }
}

void mesh::impl::set_links(const std::vector<mesh_peer>& peers) {
    std::vector<mesh_target> targets;
    for (const auto& peer : peers) {
        const auto known = std::find_if(targets_.begin(), targets_.end(), [&](const mesh_target& target) {
            return target.peer.id == peer.id && target.peer.address == peer.address;
        });
        targets.push_back(known == targets_.end() ? mesh_target{peer, 0, {}, {}} : *known);
    }
    targets_ = std::move(targets);
    for (const auto& [id, link] : links_) {
        if (link.dialled && link.standing && !is_wanted(link)) {
            transport_->close(id);
        }
    }
    dial_targets(now());
}

bool mesh::impl::is_wanted(const mesh_link& link) const {
    return std::any_of(targets_.begin(), targets_.end(), [&](const mesh_target& target) {
        return is_for_target(link, target) || target.link == link.id;
    });
}

void mesh::impl::dial_targets(core::steady_time time) {
    for (auto& target : targets_) {
        const bool is_linked = std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
            const auto& link = item.second;
            return link.authenticated && link.standing && !link.retired && is_for_target(link, target);
        });
        if (!is_linked && target.link == 0 && target.next_dial <= time &&
            target.peer.id != settings_.node_id) {
            target.link = dial(target.peer, true);
        }
    }
}

std::uint64_t mesh::impl::dial(const mesh_peer& peer, bool standing) {
    const auto id = transport_->dial(peer.address);
    mesh_link link;
    link.id = id;
    link.dialled = true;
    link.standing = standing;
    link.wanted = peer;
    link.own_nonce = make_nonce();
    link.created = link.last_in = link.last_ping = link.last_call = now();
    links_.emplace(id, std::move(link));
    return id;
}

void mesh::impl::opened(std::uint64_t id) {
    const auto waiting = std::count_if(links_.begin(), links_.end(),
                                       [](const auto& item) { return !item.second.authenticated; });
    auto found = links_.find(id);
    if (found == links_.end()) {
        if (std::size_t(waiting) >= max_unauthenticated) {
            transport_->close(id);
            return;
        }
        mesh_link link;
        link.id = id;
        link.own_nonce = make_nonce();
        link.created = link.last_in = link.last_ping = link.last_call = now();
        found = links_.emplace(id, std::move(link)).first;
    }
    auto& link = found->second;
    transmit(link, encode_message(settings_.node_id, hello_message{link.own_nonce, link.standing}));
}

void mesh::impl::closed(std::uint64_t id, bool protocol_error) {
    counters_.malformed += protocol_error ? 1 : 0;
    const auto node = links_.extract(id);
    if (node.empty()) {
        return;
    }
    const mesh_link& link = node.mapped();
    const auto current = by_peer_.find(link.peer);
    if (link.authenticated && current != by_peer_.end() && current->second == id) {
        by_peer_.erase(current);
        announce(link, false);
    }
    for (auto& target : targets_) {
        if (target.link == id) {
            back_off(target, settings_.limits, random_, now());
        }
    }
    const auto why = link.authenticated ? mesh_failure::cause::link_lost : mesh_failure::cause::not_sent;
    for (const auto call : link.calls) {
        finish(call,
               tl::make_unexpected(mesh_failure{why, "the link to " + link.wanted.address + " closed"}));
    }
}

void mesh::impl::touched(std::uint64_t id) {
    if (auto* link = find_link(id)) {
        link->last_in = now();
    }
}

void mesh::impl::received(std::uint64_t id, const std::string& bytes) {
    auto* link = find_link(id);
    if (link == nullptr || link->closing) {
        return;
    }
    ++counters_.messages_in;
    counters_.bytes_in += bytes.size();
    link->last_in = now();
    if (!link->authenticated && bytes.size() > max_handshake_bytes) {
        refuse(*link);
        return;
    }
    auto envelope = decode_message(bytes);
    if (!envelope) {
        ++counters_.malformed;
        link->closing = true;
        transport_->close(id);
        return;
    }
    if (link->authenticated) {
        deliver(*link, std::move(*envelope));
    } else {
        handshake(*link, *envelope);
    }
}

void mesh::impl::announce(const mesh_link& link, bool up) {
    if (settings_.on_link) {
        settings_.on_link({link.peer, up, link.standing, link.id});
    }
}

void mesh::impl::deliver(mesh_link& link, mesh_envelope envelope) {
    if (auto* request = std::get_if<rpc_message>(&envelope.message)) {
        take_request(link, std::move(*request));
        return;
    }
    if (auto* answer = std::get_if<rpc_reply_message>(&envelope.message)) {
        take_reply(link, std::move(*answer));
        return;
    }
    // A digest on a retired link belongs to a sequence that the receiver never saw begin. Other messages
    // count: the sender may not know yet that the link is retired.
    const bool is_stray = link.retired && std::holds_alternative<digest_message>(envelope.message);
    const bool is_unknown = std::holds_alternative<std::monostate>(envelope.message);
    if (is_stray || is_unknown || !settings_.on_message) {
        return;
    }
    settings_.on_message({link.peer, link.id, link.standing, std::move(envelope.message)});
}

void mesh::impl::transmit(mesh_link& link, std::string bytes) {
    if (link.closing) {
        return;
    }
    const auto size = bytes.size();
    if (transport_->send(link.id, std::move(bytes))) {
        ++counters_.messages_out;
        counters_.bytes_out += size;
    }
}

void mesh::impl::overflowed(std::uint64_t id) {
    auto* link = find_link(id);
    if (link != nullptr && !link->closing) {
        ++counters_.slow;
        link->closing = true;
        transport_->close(id);
    }
}

void mesh::impl::send(const std::string& peer, const mesh_message& message) {
    if (auto* link = find_peer(peer)) {
        transmit(*link, encode_message(settings_.node_id, message));
    }
}

void mesh::impl::broadcast(const mesh_message& message) {
    const auto bytes = encode_message(settings_.node_id, message);
    for (const auto& [peer, id] : by_peer_) {
        auto* link = find_link(id);
        if (link != nullptr && link->standing) {
            transmit(*link, bytes);
        }
    }
}

mesh_link* mesh::impl::find_link(std::uint64_t id) {
    const auto found = links_.find(id);
    return found == links_.end() ? nullptr : &found->second;
}

mesh_link* mesh::impl::find_peer(const std::string& peer) {
    const auto found = by_peer_.find(peer);
    return found == by_peer_.end() ? nullptr : find_link(found->second);
}

} // namespace figspoke::adapters
