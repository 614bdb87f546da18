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

/// Speaks the platform's store as its page describes it: ranges, keys and conditional writes.
class store_stand_in {
  public:
    store_stand_in();
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;

    std::string address() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Returns a value, or an empty text.
    std::string get(const std::string& key) const;

    /// Answers every call with 503 while set.
    void set_away(bool away) { away_ = away; }

    /// Executes the next writes, but answers nothing.
    void lose_write_answers(int count) { lost_answers_ = count; }

    int calls() const { return calls_; }

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };

    void serve(adapters::http_exchange& exchange);
    adapters::http_reply range(const std::string& prefix) const;
    adapters::http_reply key(const std::string& name) const;
    adapters::http_reply write(const std::string& body);

    mutable std::mutex mutex_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::atomic<bool> away_{false};
    std::atomic<int> lost_answers_{0};
    std::atomic<int> calls_{0};
    boost::asio::io_context context_{1};
    std::unique_ptr<adapters::http_server> server_;
    std::thread thread_;
};

} // namespace figspoke::test
