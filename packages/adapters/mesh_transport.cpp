#include "adapters/mesh_transport.h"

#include <chrono>
#include <stdexcept>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/common/network.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include "adapters/endpoint.h"

// websocketpp provides the protocol only. Connections are accepted and dialled here: its endpoints hand raw
// pointers to themselves to the io_context, which would have to outlive them, and its client starts a thread
// to resolve names, although addresses are numeric.

namespace figspoke::adapters {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Far above the links of a node; bounds what strangers can open.
constexpr std::size_t max_connections = 1024;

// The default of 16 KB a connection exceeds most digests.
constexpr std::size_t read_buffer_bytes = 4096;

constexpr std::size_t max_http_body_bytes = 1024;

constexpr std::chrono::milliseconds accept_retry{100};

// One configuration for both roles, so that both have one connection type.
struct websocket_config : websocketpp::config::asio {
    using type = websocket_config;
    using base = websocketpp::config::asio;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    static constexpr bool drop_on_protocol_error = true;
    static constexpr std::size_t connection_read_buffer_size = read_buffer_bytes;
};

using server_endpoint = websocketpp::server<websocket_config>;
using client_endpoint = websocketpp::client<websocket_config>;
using connection_ptr = server_endpoint::connection_ptr;
using message_ptr = server_endpoint::message_ptr;

// Connections use the random generator of their endpoint, so each keeps this alive.
struct endpoint_pair {
    server_endpoint server;
    client_endpoint client;
};

template <class Endpoint>
void prepare(Endpoint& endpoint, asio::io_context& context) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_http_body_size(max_http_body_bytes);
}

struct live_connection {
    connection_ptr socket;
    bool dialled = false;
    bool started = false;
};

class websocket_transport final : public mesh_transport,
                                  public std::enable_shared_from_this<websocket_transport> {
  public:
    websocket_transport(asio::io_context& context, const strand& executor, limits bounds,
                        transport_handlers handlers)
        : strand_(executor), acceptor_(executor), retry_(executor), limits_(bounds),
          handlers_(std::move(handlers)), endpoints_(std::make_shared<endpoint_pair>()) {
        prepare(endpoints_->server, context);
        prepare(endpoints_->client, context);
    }

    void listen(const std::string& address) {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint) {
            throw std::runtime_error("mesh listen address \"" + address + "\" is not IP:port");
        }
        boost::system::error_code code;
        acceptor_.open(endpoint->protocol(), code);
        acceptor_.set_option(asio::socket_base::reuse_address(true), code);
        acceptor_.bind(*endpoint, code);
        if (code) {
            throw std::runtime_error("mesh cannot listen on " + address + ": " + code.message());
        }
        acceptor_.listen(asio::socket_base::max_listen_connections, code);
        port_ = acceptor_.local_endpoint().port();
    }

    void accept() {
        auto socket = endpoints_->server.get_connection();
        acceptor_.async_accept(
            socket->get_raw_socket(),
            asio::bind_executor(strand_, [self = shared_from_this(), socket](const auto& code) {
                if (!self->stopped_) {
                    self->accepted(socket, code);
                }
            }));
    }

    void accepted(const connection_ptr& socket, const boost::system::error_code& code) {
        if (code) {
            // Without a wait, running out of file descriptors would make this a busy loop.
            retry_.expires_after(accept_retry);
            retry_.async_wait(
                asio::bind_executor(strand_, [self = shared_from_this()](const auto& cancelled) {
                    if (!cancelled && !self->stopped_) {
                        self->accept();
                    }
                }));
            return;
        }
        if (connections_.size() < max_connections) {
            start(add(socket, false));
        }
        accept();
    }

    unsigned short port() const override { return port_; }

    std::uint64_t dial(const std::string& address) override {
        websocketpp::lib::error_code code;
        auto socket = endpoints_->client.get_connection("ws://" + address + "/mesh", code);
        const auto endpoint = parse_endpoint(address);
        if (code || !endpoint) {
            const auto id = ++last_id_;
            post_closed(id, false);
            return id;
        }
        const auto id = add(socket, true);
        socket->get_raw_socket().async_connect(
            *endpoint,
            asio::bind_executor(strand_, [self = shared_from_this(), socket, id](const auto& failed) {
                if (failed) {
                    self->forget(id, false);
                } else {
                    self->start(id);
                }
            }));
        return id;
    }

    bool is_dialled(std::uint64_t connection) const override {
        const auto found = connections_.find(connection);
        return found != connections_.end() && found->second.dialled;
    }

    // Queues are read and written on the connection's strand only: `get_buffered_amount` takes no lock.
    bool send(std::uint64_t connection, std::string message) override {
        const auto found = connections_.find(connection);
        if (found == connections_.end()) {
            return false;
        }
        auto socket = found->second.socket;
        asio::post(*socket->get_strand(), [weak = weak_from_this(), socket, connection,
                                           queue_bytes = limits_.queue_bytes, message = std::move(message)] {
            if (socket->get_buffered_amount() + message.size() > queue_bytes) {
                post(weak, [connection](websocket_transport& self) {
                    call(self.handlers_.on_queue_full, connection);
                });
                return;
            }
            // A failure means that the connection is closing, which is reported apart.
            socket->send(message, websocketpp::frame::opcode::binary);
        });
        return true;
    }

    void ping(std::uint64_t connection) override {
        const auto found = connections_.find(connection);
        if (found == connections_.end()) {
            return;
        }
        asio::post(*found->second.socket->get_strand(), [socket = found->second.socket] {
            websocketpp::lib::error_code code;
            socket->ping("", code);
        });
    }

    void close(std::uint64_t connection) override {
        const auto found = connections_.find(connection);
        if (found == connections_.end()) {
            return;
        }
        auto socket = found->second.socket;
        if (!found->second.started) {
            boost::system::error_code code;
            socket->get_raw_socket().close(code);
            return;
        }
        asio::post(*socket->get_strand(), [socket] {
            socket->terminate(websocketpp::error::make_error_code(websocketpp::error::operation_canceled));
        });
    }

    void stop() override {
        stopped_ = true;
        boost::system::error_code code;
        acceptor_.close(code);
        retry_.cancel();
        for (const auto& [id, live] : connections_) {
            close(id);
        }
        connections_.clear();
        handlers_ = {};
    }

  private:
    std::uint64_t add(const connection_ptr& socket, bool dialled) {
        const auto id = ++last_id_;
        connections_.emplace(id, live_connection{socket, dialled, false});
        return id;
    }

    void start(std::uint64_t id) {
        const auto found = connections_.find(id);
        if (found == connections_.end()) {
            return;
        }
        auto socket = found->second.socket;
        boost::system::error_code code;
        socket->get_raw_socket().set_option(tcp::no_delay(true), code);
        socket->set_max_message_size(limits_.message_bytes);
        set_handlers(*socket, id);
        found->second.started = true;
        asio::post(*socket->get_strand(), [socket] { socket->start(); });
    }

    // The handlers run on the connection's strand. They hold the transport weakly: it holds the connection.
    void set_handlers(server_endpoint::connection_type& socket, std::uint64_t id) {
        const std::weak_ptr<websocket_transport> weak = weak_from_this();
        const auto keep = endpoints_;
        using websocketpp::connection_hdl;
        socket.set_open_handler([weak, keep, id](const connection_hdl&) {
            post(weak, [id](websocket_transport& self) { call(self.handlers_.on_open, id); });
        });
        socket.set_message_handler([weak, id](const connection_hdl&, const message_ptr& message) {
            post(weak, [id, text = std::move(message->get_raw_payload())](websocket_transport& self) mutable {
                call(self.handlers_.on_message, id, std::move(text));
            });
        });
        socket.set_ping_handler([weak, id](const connection_hdl&, const std::string&) {
            post(weak, [id](websocket_transport& self) { call(self.handlers_.on_activity, id); });
            return true;
        });
        socket.set_pong_handler([weak, id](const connection_hdl&, const std::string&) {
            post(weak, [id](websocket_transport& self) { call(self.handlers_.on_activity, id); });
        });
        socket.set_fail_handler([weak, id](const connection_hdl&) {
            post(weak, [id](websocket_transport& self) { self.forget(id, false); });
        });
        socket.set_close_handler([weak, id, raw = &socket](const connection_hdl&) {
            const bool broken =
                raw->get_ec().category() == websocketpp::processor::error::get_processor_category();
            post(weak, [id, broken](websocket_transport& self) { self.forget(id, broken); });
        });
    }

    template <class Action>
    static void post(const std::weak_ptr<websocket_transport>& weak, Action action) {
        if (auto self = weak.lock()) {
            asio::post(self->strand_, [self, action = std::move(action)]() mutable { action(*self); });
        }
    }

    template <class Handler, class... Arguments>
    static void call(const Handler& handler, Arguments&&... arguments) {
        if (handler) {
            handler(std::forward<Arguments>(arguments)...);
        }
    }

    void forget(std::uint64_t id, bool protocol_error) {
        if (connections_.erase(id) > 0) {
            call(handlers_.on_closed, id, protocol_error);
        }
    }

    void post_closed(std::uint64_t id, bool protocol_error) {
        asio::post(strand_, [self = shared_from_this(), id, protocol_error] {
            call(self->handlers_.on_closed, id, protocol_error);
        });
    }

    strand strand_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    limits limits_;
    transport_handlers handlers_;
    std::shared_ptr<endpoint_pair> endpoints_;
    std::unordered_map<std::uint64_t, live_connection> connections_;
    std::uint64_t last_id_ = 0;
    unsigned short port_ = 0;
    bool stopped_ = false;
};

} // namespace

std::shared_ptr<mesh_transport> mesh_transport::create(asio::io_context& context, const strand& executor,
                                                       const std::string& listen_address, limits bounds,
                                                       transport_handlers handlers) {
    // It finds out the byte order at its first call and keeps it in an unguarded static variable.
    websocketpp::lib::net::_htonll(1);
    auto transport = std::make_shared<websocket_transport>(context, executor, bounds, std::move(handlers));
    transport->listen(listen_address);
    asio::post(executor, [transport] { transport->accept(); });
    return transport;
}

} // namespace figspoke::adapters
