#include "platform/soak/loopback_proxy.h"

#include <algorithm>
#include <array>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>

#include "adapters/await.h"
#include "adapters/endpoint.h"
#include "core/time.h"

namespace figspoke::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t piece_bytes = 16U * 1024;
// Longer than a round trip between regions and shorter than the time-outs of the product.
constexpr core::milliseconds piece_delay{60};
// How often a held piece looks whether the fault has ended.
constexpr core::milliseconds hold_poll{20};

void reset(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

struct connection {
    explicit connection(asio::io_context& context) : caller(context), server(context) {}
    void close() {
        reset(caller);
        reset(server);
    }
    tcp::socket caller;
    tcp::socket server;
};

} // namespace

struct loopback_proxy::impl {
    impl(asio::io_context& io, const std::string& to)
        : context(io), acceptor(io, adapters::listen_endpoint("127.0.0.1:0")),
          target(adapters::listen_endpoint(to)) {}

    bool holds(bool answers) const {
        return fault == link_fault::silent || (answers && fault == link_fault::answers_cut);
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    link_fault fault = link_fault::none;
    std::vector<std::weak_ptr<connection>> connections;
};

namespace {

// Passes one direction on until either end closes.
template <class State>
void copy(const std::shared_ptr<State>& state, const std::shared_ptr<connection>& pair, bool answers,
          const asio::yield_context& yield) {
    auto& from = answers ? pair->server : pair->caller;
    auto& to = answers ? pair->caller : pair->server;
    std::array<char, piece_bytes> piece{};
    boost::system::error_code code;
    while (!code) {
        const auto size = from.async_read_some(asio::buffer(piece), yield[code]);
        while (from.is_open() && state->holds(answers)) {
            adapters::sleep_for(hold_poll, yield);
        }
        if (code) {
            break;
        }
        if (state->fault == link_fault::delayed) {
            adapters::sleep_for(piece_delay, yield);
        }
        asio::async_write(to, asio::buffer(piece.data(), size), yield[code]);
    }
    boost::system::error_code ignored;
    if (code == asio::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
        pair->close();
    }
}

template <class State>
void serve(const std::shared_ptr<State>& state, const std::shared_ptr<connection>& pair,
           const asio::yield_context& yield) {
    boost::system::error_code code;
    pair->server.async_connect(state->target, yield[code]);
    if (code || state->fault == link_fault::reset) {
        pair->close();
        return;
    }
    asio::spawn(
        state->context, [state, pair](const asio::yield_context& inner) { copy(state, pair, true, inner); },
        asio::detached);
    copy(state, pair, false, yield);
}

template <class State>
void accept_loop(const std::shared_ptr<State>& state, const asio::yield_context& yield) {
    while (state->acceptor.is_open()) {
        auto pair = std::make_shared<connection>(state->context);
        boost::system::error_code code;
        state->acceptor.async_accept(pair->caller, yield[code]);
        if (code) {
            continue;
        }
        auto& known = state->connections;
        known.erase(std::remove_if(known.begin(), known.end(), [](const auto& one) { return one.expired(); }),
                    known.end());
        known.push_back(pair);
        asio::spawn(
            state->context, [state, pair](const asio::yield_context& inner) { serve(state, pair, inner); },
            asio::detached);
    }
}

} // namespace

loopback_proxy::loopback_proxy(asio::io_context& context, const std::string& target)
    : impl_(std::make_shared<impl>(context, target)) {
    asio::spawn(
        context, [state = impl_](const asio::yield_context& yield) { accept_loop(state, yield); },
        asio::detached);
}

loopback_proxy::~loopback_proxy() {
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
    reset_all();
}

std::string loopback_proxy::address() const {
    return "127.0.0.1:" + std::to_string(impl_->acceptor.local_endpoint().port());
}

void loopback_proxy::set_fault(link_fault fault) {
    impl_->fault = fault;
    if (fault == link_fault::reset) {
        reset_all();
    }
}

void loopback_proxy::reset_all() {
    for (const auto& weak : impl_->connections) {
        if (const auto pair = weak.lock()) {
            pair->close();
        }
    }
    impl_->connections.clear();
}

} // namespace figspoke::soak
