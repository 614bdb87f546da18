#include "platform/support/store_stand_in.h"

#include <algorithm>
#include <future>

#include <fcntl.h>
#include <sys/socket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "adapters/endpoint.h"
#include "platform/store_client.h"

namespace figspoke::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

namespace {

constexpr int listen_backlog = 256;
constexpr core::milliseconds poll_interval{20};

void reset(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

std::string to_address(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Keys are paths whose characters need no escaping.
adapters::http_request parse_target(const std::string& target) {
    adapters::http_request request;
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    for (auto at = mark; at != std::string::npos;) {
        const auto end = target.find('&', at + 1);
        const auto item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = item.find('=');
        if (equals != std::string::npos) {
            request.query[item.substr(0, equals)] = item.substr(equals + 1);
        }
        at = end;
    }
    return request;
}

} // namespace

/// One address. The acceptor and the connections live on the thread of the context.
struct store_stand_in::door {
    explicit door(asio::io_context& context) : acceptor(context) {}

    void listen(const tcp::endpoint& at, bool accepts) {
        // A node that is started meanwhile must not inherit the socket: the port would stay in use.
        acceptor.assign(at.protocol(), ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(at);
        // A socket that is bound and doesn't listen keeps the port and refuses connections.
        if (accepts) {
            acceptor.listen(listen_backlog);
        }
        listening = accepts;
    }

    void reset_connections() {
        for (const auto& weak : connections) {
            if (const auto socket = weak.lock()) {
                reset(*socket);
            }
        }
        connections.clear();
    }

    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    bool listening = false;
    std::atomic<store_refusal> refusal{store_refusal::none};
    std::vector<std::weak_ptr<tcp::socket>> connections;
};

store_stand_in::store_stand_in() {
    thread_ = std::thread([this] {
        const auto work = asio::make_work_guard(context_);
        context_.run();
    });
    add_address();
}

store_stand_in::~store_stand_in() {
    context_.stop();
    thread_.join();
}

std::string store_stand_in::address() const {
    const std::lock_guard lock(mutex_);
    return to_address(doors_.front()->endpoint);
}

std::string store_stand_in::add_address() {
    const auto added = std::make_shared<door>(context_);
    added->listen(adapters::listen_endpoint("127.0.0.1:0"), true);
    added->endpoint = added->acceptor.local_endpoint();
    {
        const std::lock_guard lock(mutex_);
        doors_.push_back(added);
    }
    asio::spawn(
        context_, [this, added](const asio::yield_context& yield) { accept_loop(added, yield); },
        asio::detached);
    apply_refusal(added);
    return to_address(added->endpoint);
}

void store_stand_in::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    content_.items[key] = {value, ++content_.revision};
}

void store_stand_in::remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++content_.revision;
    content_.items.erase(key);
}

std::string store_stand_in::get(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = content_.items.find(key);
    return found == content_.items.end() ? std::string() : found->second.value;
}

std::uint64_t store_stand_in::revision() const {
    const std::lock_guard lock(mutex_);
    return content_.revision;
}

void store_stand_in::turn_away(const std::string& address, store_refusal refusal) {
    std::shared_ptr<door> found;
    {
        const std::lock_guard lock(mutex_);
        found = *std::find_if(doors_.begin(), doors_.end(), [&](const std::shared_ptr<door>& one) {
            return to_address(one->endpoint) == address;
        });
    }
    found->refusal = refusal;
    apply_refusal(found);
}

void store_stand_in::turn_all_away(store_refusal refusal) {
    refusal_of_all_ = refusal;
    std::vector<std::shared_ptr<door>> all;
    {
        const std::lock_guard lock(mutex_);
        all = doors_;
    }
    for (const auto& one : all) {
        apply_refusal(one);
    }
}

store_copy store_stand_in::take_copy() const {
    const std::lock_guard lock(mutex_);
    return content_;
}

void store_stand_in::return_from(const store_copy& copy) {
    const std::lock_guard lock(mutex_);
    content_ = copy;
    if (era_ > 0) {
        era_headers_ = {std::to_string(++era_)};
    }
}

void store_stand_in::state_era(std::uint64_t era) {
    const std::lock_guard lock(mutex_);
    era_ = era;
    era_headers_ = {std::to_string(era)};
}

void store_stand_in::set_era_headers(const std::vector<std::string>& values) {
    const std::lock_guard lock(mutex_);
    era_ = 0;
    era_headers_ = values;
}

store_refusal store_stand_in::refusal_at(const door& at) const {
    const auto own = at.refusal.load();
    return own == store_refusal::none ? refusal_of_all_.load() : own;
}

std::vector<std::string> store_stand_in::era_headers() const {
    const std::lock_guard lock(mutex_);
    return era_headers_;
}

// Returns when the acceptor follows the refusal, so that a test knows what a call that it makes next meets.
void store_stand_in::apply_refusal(const std::shared_ptr<door>& to) {
    std::promise<void> done;
    asio::post(context_, [&] {
        const bool accepts = refusal_at(*to) != store_refusal::refused_connections;
        if (to->listening != accepts) {
            boost::system::error_code ignored;
            to->acceptor.close(ignored);
            to->reset_connections();
            to->listen(to->endpoint, accepts);
        }
        done.set_value();
    });
    done.get_future().wait();
}

void store_stand_in::accept_loop(const std::shared_ptr<door>& at, const asio::yield_context& yield) {
    while (true) {
        const auto socket = std::make_shared<tcp::socket>(context_);
        boost::system::error_code code;
        at->acceptor.async_accept(*socket, yield[code]);
        if (code) {
            adapters::sleep_for(poll_interval, yield);
            continue;
        }
        ::fcntl(socket->native_handle(), F_SETFD, FD_CLOEXEC);
        auto& known = at->connections;
        known.erase(std::remove_if(known.begin(), known.end(), [](const auto& one) { return one.expired(); }),
                    known.end());
        known.push_back(socket);
        asio::spawn(
            context_,
            [this, at, socket](const asio::yield_context& inner) { serve_connection(at, socket, inner); },
            asio::detached);
    }
}

void store_stand_in::serve_connection(const std::shared_ptr<door>& at,
                                      const std::shared_ptr<tcp::socket>& socket,
                                      const asio::yield_context& yield) {
    beast::flat_buffer buffer;
    while (true) {
        http::request<http::string_body> request;
        boost::system::error_code code;
        http::async_read(*socket, buffer, request, yield[code]);
        if (code) {
            return;
        }
        ++calls_;
        const auto refusal = refusal_at(*at);
        if (refusal == store_refusal::reset || refusal == store_refusal::refused_connections) {
            reset(*socket);
            return;
        }
        if (refusal == store_refusal::silence) {
            while (refusal_at(*at) == store_refusal::silence) {
                adapters::sleep_for(poll_interval, yield);
            }
            return;
        }
        adapters::http_reply reply;
        if (refusal == store_refusal::none) {
            auto call = parse_target(std::string(request.target()));
            call.body = request.body();
            reply = serve(call);
            if (call.path == "/kv-txn" && replies_to_drop_ > 0) {
                --replies_to_drop_;
                return;
            }
        } else {
            reply.status = refusal == store_refusal::status_503 ? 503 : 429;
        }
        http::response<http::string_body> response(http::int_to_status(unsigned(reply.status)), 11);
        for (const auto& value : era_headers()) {
            response.insert("Store-Era", value);
        }
        response.set(http::field::content_type, "application/json");
        response.body() = std::move(reply.body);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        http::async_write(*socket, response, yield[code]);
        if (code || !response.keep_alive()) {
            return;
        }
    }
}

adapters::http_reply store_stand_in::serve(const adapters::http_request& request) {
    const auto query_parameter = [&](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    if (request.path == "/kv-range") {
        return read_range(query_parameter("pathPrefix"));
    }
    if (request.path == "/kv-key") {
        return read_key(query_parameter("key"));
    }
    if (request.path == "/kv-txn") {
        return write(request.body);
    }
    return {404, {}, {}};
}

adapters::http_reply store_stand_in::read_range(const std::string& prefix) const {
    const std::lock_guard lock(mutex_);
    json list = json::array();
    for (const auto& [name, stored] : content_.items) {
        if (name.compare(0, prefix.size(), prefix) == 0) {
            list.push_back({{"key", name},
                            {"value", platform::encode_base64(stored.value)},
                            {"revision", stored.revision},
                            {"lease", 0}});
        }
    }
    return {200, {}, json{{"items", list}, {"hasMore", false}, {"at", content_.revision}}.dump()};
}

adapters::http_reply store_stand_in::read_key(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto found = content_.items.find(name);
    if (found == content_.items.end()) {
        return {404, {}, {}};
    }
    return {200,
            {},
            json{{"key", name},
                 {"value", platform::encode_base64(found->second.value)},
                 {"revision", found->second.revision},
                 {"at", content_.revision}}
                .dump()};
}

adapters::http_reply store_stand_in::write(const std::string& body) {
    const std::lock_guard lock(mutex_);
    const auto call = json::parse(body);
    for (const auto& condition : call.at("expectedRevision")) {
        const auto found = content_.items.find(condition.at("key").get<std::string>());
        const std::uint64_t revision = found == content_.items.end() ? 0 : found->second.revision;
        if (revision != condition.at("revision").get<std::uint64_t>()) {
            return {412, {}, R"({"items":[]})"};
        }
    }
    ++content_.revision;
    for (const auto& put : call.at("puts")) {
        content_.items[put.at("key").get<std::string>()] = {
            platform::decode_base64(put.at("value").get<std::string>()).value(), content_.revision};
    }
    return {200, {}, json{{"revision", content_.revision}}.dump()};
}

} // namespace figspoke::test
