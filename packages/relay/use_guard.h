#pragma once

#include <cstdint>
#include <string>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Counts a request in the load of an upstream while it runs there, and its prefill until the first byte.
class use_guard {
  public:
    struct work {
        std::int64_t tokens = 0;
        /// Expected prefill time, in milliseconds.
        double prefill_ms = 0;
        int rank = 0;
    };

    use_guard(relay_state& node, std::string upstream, std::string service, work counted);
    ~use_guard();
    use_guard(const use_guard&) = delete;
    use_guard& operator=(const use_guard&) = delete;

    /// Removes the prefill from the load. Called at the first byte.
    void end_prefill();

  private:
    void remove_pending_prefill();
    void tell_aggregator() const;

    relay_state& node_;
    std::string upstream_;
    std::string service_;
    work work_;
};

} // namespace figspoke::relay
