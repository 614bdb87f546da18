#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "adapters/http_server.h"

namespace figspoke::test {

/// A server with the HTTP interface of the platform's store: range reads, single keys and conditional writes.
class store_stand_in {
  public:
    store_stand_in();
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;

    /// `IP:port` on which the stand-in listens.
    std::string address() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Returns the value of a key, or an empty string if the key doesn't exist.
    std::string get(const std::string& key) const;

    /// While set, answers every call with status 503.
    void set_unavailable(bool unavailable) { unavailable_ = unavailable; }

    /// Executes the next `count` writes without sending a reply, as if the replies were lost.
    void drop_write_replies(int count) { replies_to_drop_ = count; }

    /// Number of calls that were received.
    int calls() const { return calls_; }

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };

    void serve(adapters::http_exchange& exchange);
    adapters::http_reply read_range(const std::string& prefix) const;
    adapters::http_reply read_key(const std::string& name) const;
    adapters::http_reply write(const std::string& body);

    mutable std::mutex mutex_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::atomic<bool> unavailable_{false};
    std::atomic<int> replies_to_drop_{0};
    std::atomic<int> calls_{0};
    boost::asio::io_context context_{1};
    std::unique_ptr<adapters::http_server> server_;
    std::thread thread_;
};

} // namespace figspoke::test
