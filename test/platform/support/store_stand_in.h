#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "adapters/http_types.h"

namespace figspoke::test {

/// How a store turns callers away.
enum class store_refusal {
    none,
    status_503,
    status_429,
    /// Connections are reset when a call has arrived.
    reset,
    /// Calls get no answer, and their connections stay open.
    silence,
    /// Connections can't be established; open ones are reset.
    refused_connections
};

/// A key's value in the store.
struct stored_item {
    std::string value;
    std::uint64_t revision = 0;
};

/// The store's content and revision counter at one moment.
struct store_copy {
    std::map<std::string, stored_item> items;
    std::uint64_t revision = 0;
};

/// A server with the HTTP interface of the platform's store: range reads, single keys and conditional writes.
/// It has one address or several, so that it can turn single callers away, and may come back from an older
/// copy.
class store_stand_in {
  public:
    store_stand_in();
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;

    /// `IP:port` on which the stand-in listens: the first address.
    std::string address() const;
    /// Adds another address and returns it.
    std::string add_address();

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Returns the value of a key, or an empty string if the key doesn't exist.
    std::string get(const std::string& key) const;
    std::uint64_t revision() const;

    /// While set, answers every call with status 503.
    void set_unavailable(bool unavailable) {
        turn_all_away(unavailable ? store_refusal::status_503 : store_refusal::none);
    }

    /// Turns all callers of one address away, until the call with `store_refusal::none`.
    void turn_away(const std::string& address, store_refusal refusal);
    /// The same for all addresses, independently of those of single addresses.
    void turn_all_away(store_refusal refusal);

    store_copy take_copy() const;
    /// Replaces the content and the revision counter. An era that is stated rises by one.
    void return_from(const store_copy& copy);
    /// States an era in all answers from now on.
    void state_era(std::uint64_t era);
    /// Replaces the era headers of all answers by these; a return doesn't change them.
    void set_era_headers(const std::vector<std::string>& values);

    /// Executes the next `count` writes without sending a reply, as if the replies were lost.
    void drop_write_replies(int count) { replies_to_drop_ = count; }

    /// Number of calls that were received.
    int calls() const { return calls_; }

  private:
    struct door;

    adapters::http_reply serve(const adapters::http_request& request);
    adapters::http_reply read_range(const std::string& prefix) const;
    adapters::http_reply read_key(const std::string& name) const;
    adapters::http_reply write(const std::string& body);
    store_refusal refusal_at(const door& at) const;
    std::vector<std::string> era_headers() const;
    void accept_loop(const std::shared_ptr<door>& at, const boost::asio::yield_context& yield);
    void serve_connection(const std::shared_ptr<door>& at,
                          const std::shared_ptr<boost::asio::ip::tcp::socket>& socket,
                          const boost::asio::yield_context& yield);
    void apply_refusal(const std::shared_ptr<door>& to);

    // Outlives the sockets of the doors.
    boost::asio::io_context context_{1};
    mutable std::mutex mutex_;
    store_copy content_{{}, 1};
    /// 0 while none is stated.
    std::uint64_t era_ = 0;
    std::vector<std::string> era_headers_;
    std::vector<std::shared_ptr<door>> doors_;
    std::atomic<store_refusal> refusal_of_all_{store_refusal::none};
    std::atomic<int> replies_to_drop_{0};
    std::atomic<int> calls_{0};
    std::thread thread_;
};

} // namespace figspoke::test
