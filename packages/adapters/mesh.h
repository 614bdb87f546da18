#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "adapters/mesh_messages.h"
#include "core/time.h"

namespace figspoke::adapters {

/// A node to link to. An empty id accepts whichever node answers at the address.
struct mesh_peer {
    std::string id;
    /// `IP:port`.
    std::string address;
};

/// A link that came up or went down. Digests are for standing links.
struct mesh_link_event {
    std::string peer;
    bool up = false;
    bool standing = false;
    /// Differs for each connection, also to the same peer.
    std::uint64_t link = 0;
};

/// Why a call brought no reply.
struct mesh_failure {
    enum class cause { not_sent, timed_out, link_lost, refused };
    cause why = cause::not_sent;
    std::string message;
};

using mesh_result = tl::expected<std::string, mesh_failure>;
using mesh_callback = std::function<void(mesh_result)>;

/// Replies to a call; may be called later, from any thread, at most once. An unexpected value is returned to
/// the caller as `refused` with this message.
using mesh_reply = std::function<void(tl::expected<std::string, std::string>)>;

/// A call that a peer made.
struct mesh_request {
    std::string from;
    std::string method;
    std::string body;
};

/// A message that arrived on an authenticated link.
struct mesh_delivery {
    std::string from;
    std::uint64_t link = 0;
    bool standing = false;
    mesh_message message;
};

using mesh_message_handler = std::function<void(mesh_delivery)>;
using mesh_request_handler = std::function<void(mesh_request, mesh_reply)>;
using mesh_link_handler = std::function<void(mesh_link_event)>;

/// Totals since the start. Bytes are those of messages, without the headers of WebSocket and TCP.
struct mesh_counters {
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t links_opened = 0;
    /// Links closed for a wrong secret, malformed or oversized messages, and for slowness.
    std::uint64_t refused = 0;
    std::uint64_t malformed = 0;
    std::uint64_t slow = 0;
};

/// Limits and times of a mesh.
struct mesh_limits {
    std::size_t message_bytes = 2U * 1024 * 1024;
    std::size_t queue_bytes = 4U * 1024 * 1024;
    core::milliseconds handshake{3000};
    /// A link on which nothing arrives for this long is closed.
    core::milliseconds silence{5000};
    /// A link that was opened for a call is closed after this time without one.
    core::milliseconds idle{10000};
    core::milliseconds reconnect_min{100};
    core::milliseconds reconnect_max{3000};
};

/// Everything a mesh is built from.
struct mesh_settings {
    std::string node_id;
    /// `IP:port`; port 0 lets the system pick.
    std::string listen_address;
    std::string secret;
    mesh_limits limits;
    mesh_message_handler on_message;
    mesh_request_handler on_request;
    mesh_link_handler on_link;
};

/// Authenticated links between nodes. All methods may be called from any thread; handlers run on the
/// io_context, one at a time, and must neither block nor throw.
class mesh {
  public:
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    /// The port that the mesh listens on.
    unsigned short port() const;

    /// Sets the peers to which standing links are kept. Missing ones are dialled, others that this node
    /// dialled are closed.
    void set_links(std::vector<mesh_peer> peers);

    /// Sends a message to a linked peer; without a link it is dropped.
    void send(const std::string& peer, mesh_message message);

    /// Sends a message on all standing links.
    void broadcast(mesh_message message);

    /// Calls a method of a peer, over the link to it or one opened for the call.
    void call(mesh_peer peer, std::string method, std::string body, core::milliseconds timeout,
              mesh_callback callback);

    mesh_counters counters() const;

    /// Closes all links and stops listening; pending calls fail. No handler runs after the io_context has
    /// run what was posted by this call.
    void stop();

  private:
    friend class mesh_builder;
    class impl;
    explicit mesh(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> impl_;
};

/// Builds a mesh.
class mesh_builder {
  public:
    mesh_builder& node_id(std::string value);
    mesh_builder& listen_address(std::string value);
    mesh_builder& secret(std::string value);
    mesh_builder& limits(mesh_limits value);
    mesh_builder& on_message(mesh_message_handler handler);
    mesh_builder& on_request(mesh_request_handler handler);
    mesh_builder& on_link(mesh_link_handler handler);

    /// Listens and starts. Throws `std::runtime_error` where it cannot listen or the secret is empty.
    std::unique_ptr<mesh> build(boost::asio::io_context& context) const;

  private:
    mesh_settings settings_;
};

} // namespace figspoke::adapters
