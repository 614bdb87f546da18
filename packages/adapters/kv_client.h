#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>
#include <tl/expected.hpp>

#include "adapters/http_client.h"

namespace figspoke::adapters {

/// A value of the key-value service with the version that a compare-and-swap names.
struct kv_value {
    std::string text;
    std::uint64_t version = 0;
};

enum class kv_error_kind {
    /// The key has another version; `current` holds it.
    conflict,
    not_found,
    /// The request was refused without effect, or never sent.
    unavailable,
    /// No clear answer came: a write may have taken effect.
    unclear,
    too_large,
    /// A watch ended without a change.
    no_change,
};

struct kv_error {
    kv_error_kind kind = kv_error_kind::unavailable;
    std::uint64_t current = 0;
    std::string message;
};

template <class T>
using kv_result = tl::expected<T, kv_error>;

/// The port to the key-value service. Every call suspends the given coroutine.
struct kv_store {
    using yield_context = boost::asio::yield_context;

    std::function<kv_result<kv_value>(const std::string& key, const yield_context&)> get;

    /// Writes the value if the key's version is `expected` (0: absent) and returns the new version.
    /// `lease` binds the key to a lease; empty for none.
    std::function<kv_result<std::uint64_t>(const std::string& key, const std::string& value,
                                           std::uint64_t expected, const std::string& lease,
                                           const yield_context&)>
        compare_and_swap;

    std::function<kv_result<void>(const std::string& key, std::uint64_t expected, const yield_context&)>
        remove;

    /// Returns the keys with the prefix.
    std::function<kv_result<std::vector<std::string>>(const std::string& prefix, const yield_context&)> list;

    /// Waits until the key's version is above `after`, for at most `timeout`.
    std::function<kv_result<kv_value>(const std::string& key, std::uint64_t after,
                                      std::chrono::milliseconds timeout, const yield_context&)>
        watch;

    std::function<kv_result<std::string>(std::chrono::milliseconds ttl, const yield_context&)> create_lease;
    std::function<kv_result<void>(const std::string& lease, const yield_context&)> renew_lease;
};

/// Builds the port over HTTP, as docs/platform.md describes it. `client` must outlive the port.
/// `timeout` bounds each call apart from a watch's own waiting time.
kv_store make_kv_store(http_client& client, const std::string& address, std::chrono::milliseconds timeout);

} // namespace figspoke::adapters
