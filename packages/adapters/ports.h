#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>
#include <tl/expected.hpp>

namespace figspoke::adapters {

/// A call to the platform or to an upstream's reports that brought no usable answer.
struct platform_failure {
    /// Whether the call may have taken effect.
    bool may_have_run = false;
    /// Names the call, and the field where the answer was malformed.
    std::string message;
};

template <class T>
using platform_result = tl::expected<T, platform_failure>;

/// One VM as the platform lists it.
struct vm {
    std::string id;
    /// `IP:port`.
    std::string address;
    std::string failure_domain;
    bool leaving = false;
};

/// The port to the VM list, which lags. Every call of this and the other ports suspends its coroutine.
struct vm_list {
    std::function<platform_result<std::vector<vm>>(const boost::asio::yield_context&)> read;
};

/// The weight store's answer to a request to load a version.
struct weight_grant {
    bool granted = false;
    /// How long the load takes, where it was granted.
    std::chrono::milliseconds duration{0};
    /// When to ask again, where it was not.
    std::chrono::milliseconds retry_after{0};
};

/// The port to the weight store.
struct weight_store {
    std::function<platform_result<weight_grant>(const std::string& version, const std::string& upstream,
                                                const boost::asio::yield_context&)>
        request_load;
};

/// An answer to be rated.
struct rating_request {
    std::string request_id;
    std::string version;
    std::string task;
    std::string answer;
};

/// The rating of one answer.
struct answer_rating {
    std::uint64_t seq = 0;
    std::string request_id;
    std::string version;
    std::string task;
    bool passed = false;
};

/// Ratings after a sequence number. `next` is where the next read continues.
struct rating_page {
    std::uint64_t next = 0;
    std::vector<answer_rating> ratings;
};

/// The port to the rating service, which rates a sample and answers late.
struct rating_service {
    std::function<platform_result<void>(const rating_request&, const boost::asio::yield_context&)> submit;
    std::function<platform_result<rating_page>(std::uint64_t after, const boost::asio::yield_context&)> read;
};

/// An upstream's report of its load.
struct upstream_load_report {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    std::vector<std::string> versions;
    std::int64_t cached_tokens = 0;
    /// How old the numbers were when the upstream answered.
    std::chrono::milliseconds age{0};
};

/// A prompt prefix that an engine cached or evicted.
struct upstream_cache_event {
    std::uint64_t seq = 0;
    bool cached = false;
    std::string version;
    std::string prefix;
};

/// Cache events after a sequence number. `next` is where the next read continues.
struct cache_event_page {
    std::uint64_t next = 0;
    std::vector<upstream_cache_event> events;
};

/// The port to the reports of all upstreams, each named by its address.
struct upstream_reports {
    std::function<platform_result<upstream_load_report>(const std::string& address,
                                                        const boost::asio::yield_context&)>
        read_load;
    std::function<platform_result<cache_event_page>(const std::string& address, std::uint64_t after,
                                                    const boost::asio::yield_context&)>
        read_events;
};

} // namespace figspoke::adapters
