#include <atomic>
#include <exception>
#include <memory>

#include <boost/asio/post.hpp>

#include "adapters/mesh_impl.h"

namespace figspoke::adapters {

void mesh::impl::call(const mesh_peer& peer, rpc_message request, core::milliseconds timeout,
                      mesh_callback callback) {
    if (stopped_) {
        callback(tl::make_unexpected(mesh_failure{mesh_failure::cause::not_sent, "the mesh is stopped"}));
        return;
    }
    const auto id = ++last_call_;
    request.id = id;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto link_id = link_for_call(peer);
    calls_.emplace(id, mesh_pending_call{link_id, false, std::move(request), std::move(callback), deadline});
    auto* link = find_link(link_id);
    link->calls.insert(id);
    if (link->authenticated) {
        send_call(*link, id);
    }
}

// Returns the link in use, one that is being dialled, or a new one.
std::uint64_t mesh::impl::link_for_call(const mesh_peer& peer) {
    if (const auto* link = find_peer(peer.id)) {
        return link->id;
    }
    for (const auto& [id, link] : links_) {
        const bool is_same = link.wanted.id == peer.id && link.wanted.address == peer.address;
        if (link.dialled && !link.authenticated && is_same) {
            return id;
        }
    }
    return dial(peer, false);
}

void mesh::impl::send_call(mesh_link& link, std::uint64_t id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    link.last_call = std::chrono::steady_clock::now();
    found->second.sent = true;
    transmit(link, encode_message(settings_.node_id, found->second.request));
    // The request may be large and is not needed any more: nothing is sent twice.
    found->second.request = {};
}

void mesh::impl::finish(std::uint64_t id, mesh_result result) {
    auto node = calls_.extract(id);
    if (node.empty()) {
        return;
    }
    if (auto* link = find_link(node.mapped().link)) {
        link->calls.erase(id);
        link->last_call = std::chrono::steady_clock::now();
    }
    node.mapped().callback(std::move(result));
}

void mesh::impl::expire_calls(core::steady_time time) {
    std::vector<std::uint64_t> expired;
    for (const auto& [id, pending] : calls_) {
        if (pending.deadline <= time) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            continue;
        }
        const auto why = found->second.sent ? mesh_failure::cause::timed_out : mesh_failure::cause::not_sent;
        finish(id, tl::make_unexpected(mesh_failure{why, "no reply within the timeout"}));
    }
}

void mesh::impl::take_request(mesh_link& link, rpc_message request) {
    link.last_call = std::chrono::steady_clock::now();
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    const std::weak_ptr<impl> weak = weak_from_this();
    const mesh_reply respond = [weak, answered, link_id = link.id,
                                id = request.id](tl::expected<std::string, std::string> result) {
        const auto self = weak.lock();
        if (!self || answered->exchange(true)) {
            return;
        }
        rpc_reply_message answer{id, {}, {}};
        if (result) {
            answer.body = std::move(*result);
        } else {
            answer.error = result.error().empty() ? "refused" : result.error();
        }
        boost::asio::post(self->strand_,
                          [self, link_id, answer = std::move(answer)] { self->reply(link_id, answer); });
    };
    if (!settings_.on_request) {
        respond(tl::make_unexpected("node takes no calls"));
        return;
    }
    settings_.on_request({link.peer, std::move(request.method), std::move(request.body)}, respond);
}

void mesh::impl::reply(std::uint64_t link_id, rpc_reply_message answer) {
    if (auto* link = find_link(link_id)) {
        transmit(*link, encode_message(settings_.node_id, std::move(answer)));
    }
}

void mesh::impl::take_reply(mesh_link& link, rpc_reply_message answer) {
    // A reply counts only on the link that carried the request.
    if (link.calls.count(answer.id) == 0) {
        return;
    }
    if (answer.error.empty()) {
        finish(answer.id, std::move(answer.body));
    } else {
        finish(answer.id, tl::make_unexpected(mesh_failure{mesh_failure::cause::refused, answer.error}));
    }
}

} // namespace figspoke::adapters
