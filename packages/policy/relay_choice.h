#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// What a node knows of one upstream when it chooses.
struct relay_candidate {
    std::string id;
    std::string failure_domain;
    int slots = 1;
    /// Estimated requests on the upstream from all nodes.
    int load = 0;
    /// Expected time of the work before this request, in milliseconds.
    double pending_ms = 0;
    /// Expected time to read the prompt there, by what this node knows to be kept, and if all its shared
    /// parts are kept.
    double reading_ms = 0;
    double warm_reading_ms = 0;
    /// Whether recent evidence speaks against it.
    bool suspect = false;
    /// Until when it said that it is full.
    bool backing_off = false;
};

struct relay_choice_settings {
    /// Load per slot up to which an upstream may take more requests.
    double fill_limit = 1.0;
    /// Expected time per running request: each slows the others' steps a little.
    double ms_per_request = 4;
    /// What an upstream outside the first places of the prefix's rendezvous order must be faster by. Reports
    /// of peers are late, and without it requests for one prefix would scatter over all upstreams.
    double scatter_ms = 300;
    std::size_t owners = 2;
    /// Load per slot that an upstream of the own failure domain may have more and still be preferred.
    double domain_preference = 0.05;
};

/// What a request asks for.
struct relay_wish {
    /// Hash of the shared prompt prefix; 0 where there is no prompt.
    std::uint64_t prefix = 0;
    std::string failure_domain;
    /// Upstreams that the request was sent to already.
    std::vector<std::string> tried;
    /// Two draws in [0, 1).
    double first = 0;
    double second = 0;
};

enum class relay_reason { prefix_owner, prefix_overflow, two_choices, last_resort, full, none };

struct relay_choice {
    /// Empty where no upstream can take the request now.
    std::string id;
    relay_reason reason = relay_reason::none;
    int load = 0;
    /// Expected time of the work before the request and of reading its prompt.
    double pending_ms = 0;
    double reading_ms = 0;
};

/// Chooses an upstream. Requests with a prompt go where their first byte is expected soonest, which is the
/// rendezvous owner of the prefix unless it is busier than reading the prompt elsewhere takes; the rest take
/// the better of two. Suspects are the last resort. The reason is `full` where room is missing and `none`
/// where there is no upstream at all.
relay_choice choose_relay_upstream(const std::vector<relay_candidate>& candidates,
                                   const relay_choice_settings& settings, const relay_wish& wish);

std::string_view to_string(relay_reason value);

} // namespace figspoke::policy
