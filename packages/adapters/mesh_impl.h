#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/mesh.h"
#include "adapters/mesh_codec.h"
#include "adapters/mesh_links.h"
#include "adapters/mesh_transport.h"

namespace figspoke::adapters {

/// A call that waits for its link or its reply.
struct mesh_pending_call {
    std::uint64_t link = 0;
    bool sent = false;
    rpc_message request;
    mesh_callback callback;
    core::steady_time deadline;
};

/// The state of a mesh. All methods but `start` and `read_counters` run on its strand.
class mesh::impl : public std::enable_shared_from_this<mesh::impl> {
  public:
    impl(boost::asio::io_context& context, mesh_settings settings);

    void start();
    void stop();

    unsigned short port() const { return transport_->port(); }
    const mesh_transport::strand& executor() const { return strand_; }
    mesh_counters read_counters() const;

    void set_links(const std::vector<mesh_peer>& peers);
    void send(const std::string& peer, const mesh_message& message);
    void broadcast(const mesh_message& message);
    void call(const mesh_peer& peer, rpc_message request, core::milliseconds timeout, mesh_callback callback);

  private:
    transport_handlers make_handlers();
    void schedule_tick();
    void tick();
    void check_links(core::steady_time now);
    void dial_targets(core::steady_time now);
    std::uint64_t dial(const mesh_peer& peer, bool standing);
    bool is_wanted(const mesh_link& link) const;

    void opened(std::uint64_t id);
    void closed(std::uint64_t id, bool protocol_error);
    void received(std::uint64_t id, const std::string& bytes);
    void touched(std::uint64_t id);
    void overflowed(std::uint64_t id);
    void handshake(mesh_link& link, const mesh_envelope& envelope);
    void take_hello(mesh_link& link, const std::string& from, const hello_message& hello);
    void take_proof(mesh_link& link, const proof_message& proof);
    void authenticated(mesh_link& link);
    void announce(const mesh_link& link, bool up);
    void refuse(mesh_link& link);
    void deliver(mesh_link& link, mesh_envelope envelope);
    void take_request(mesh_link& link, rpc_message request);
    void reply(std::uint64_t link, rpc_reply_message answer);
    void take_reply(mesh_link& link, rpc_reply_message answer);

    void transmit(mesh_link& link, std::string bytes);
    std::uint64_t link_for_call(const mesh_peer& peer);
    void send_call(mesh_link& link, std::uint64_t id);
    void finish(std::uint64_t id, mesh_result result);
    void expire_calls(core::steady_time now);
    mesh_link* find_link(std::uint64_t id);
    mesh_link* find_peer(const std::string& peer);

    struct atomic_counters {
        std::atomic<std::uint64_t> messages_in{0}, messages_out{0}, bytes_in{0}, bytes_out{0},
            links_opened{0}, refused{0}, malformed{0}, slow{0};
    };

    boost::asio::io_context& context_;
    mesh_settings settings_;
    mesh_transport::strand strand_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<mesh_transport> transport_;
    std::map<std::uint64_t, mesh_link> links_;
    /// The link in use for each authenticated peer.
    std::unordered_map<std::string, std::uint64_t> by_peer_;
    std::vector<mesh_target> targets_;
    std::map<std::uint64_t, mesh_pending_call> calls_;
    std::uint64_t last_call_ = 0;
    std::minstd_rand random_;
    bool stopped_ = false;
    atomic_counters counters_;
};

} // namespace figspoke::adapters
