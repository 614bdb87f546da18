#include "adapters/mesh.h"

#include <stdexcept>
#include <utility>

#include <boost/asio/post.hpp>

#include "adapters/mesh_impl.h"

namespace figspoke::adapters {

mesh::mesh(std::shared_ptr<impl> implementation) : impl_(std::move(implementation)) {}

mesh::~mesh() {
    stop();
}

unsigned short mesh::port() const {
    return impl_->port();
}

void mesh::set_links(std::vector<mesh_peer> peers) {
    boost::asio::post(impl_->executor(),
                      [self = impl_, peers = std::move(peers)] { self->set_links(peers); });
}

void mesh::send(const std::string& peer, mesh_message message) {
    boost::asio::post(impl_->executor(),
                      [self = impl_, peer, message = std::move(message)] { self->send(peer, message); });
}

void mesh::broadcast(mesh_message message) {
    boost::asio::post(impl_->executor(),
                      [self = impl_, message = std::move(message)] { self->broadcast(message); });
}

void mesh::call(mesh_peer peer, std::string method, std::string body, core::milliseconds timeout,
                mesh_callback callback) {
    rpc_message request{0, std::move(method), std::move(body)};
    boost::asio::post(impl_->executor(), [self = impl_, peer = std::move(peer), request = std::move(request),
                                          timeout, callback = std::move(callback)]() mutable {
        self->call(peer, std::move(request), timeout, std::move(callback));
    });
}

mesh_counters mesh::counters() const {
    return impl_->read_counters();
}

void mesh::stop() {
    boost::asio::post(impl_->executor(), [self = impl_] { self->stop(); });
}

mesh_builder& mesh_builder::node_id(std::string value) {
    settings_.node_id = std::move(value);
    return *this;
}

mesh_builder& mesh_builder::listen_address(std::string value) {
    settings_.listen_address = std::move(value);
    return *this;
}

mesh_builder& mesh_builder::secret(std::string value) {
    settings_.secret = std::move(value);
    return *this;
}

mesh_builder& mesh_builder::limits(mesh_limits value) {
    settings_.limits = value;
    return *this;
}

mesh_builder& mesh_builder::on_message(mesh_message_handler handler) {
    settings_.on_message = std::move(handler);
    return *this;
}

mesh_builder& mesh_builder::on_request(mesh_request_handler handler) {
    settings_.on_request = std::move(handler);
    return *this;
}

mesh_builder& mesh_builder::on_link(mesh_link_handler handler) {
    settings_.on_link = std::move(handler);
    return *this;
}

std::unique_ptr<mesh> mesh_builder::build(boost::asio::io_context& context) const {
    if (settings_.node_id.empty() || settings_.secret.empty()) {
        throw std::runtime_error("mesh needs a node id and a secret");
    }
    auto implementation = std::make_shared<mesh::impl>(context, settings_);
    implementation->start();
    return std::unique_ptr<mesh>(new mesh(std::move(implementation)));
}

} // namespace figspoke::adapters
