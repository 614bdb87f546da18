#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// What a node knows about an upstream when it places a request.
struct relay_candidate {
    std::string id;
    std::string failure_domain;
    int slots = 1;
    /// Estimated number of requests on the upstream from all nodes.
    int load = 0;
    /// Expected prefill time of the prompts ahead of this request, in milliseconds.
    double pending_ms = 0;
    /// Expected prefill time of the prompt, in milliseconds, with the prefixes that this node knows to be
    /// cached there.
    double own_prefill_ms = 0;
    /// The same, if all shared segments of the prompt are cached there.
    double cached_prefill_ms = 0;
    /// How long the upstream takes for plain work and for a decoding step, relative to its peers.
    double relative_work_time = 1;
    double relative_step_time = 1;
    /// Share of its part that an upstream bears that has just started or recovered; 1 if it is established.
    double pace_share = 1;
    /// Whether one more request would exceed the upstream's pace.
    bool over_pace = false;
    /// Whether recent failures speak against the upstream.
    bool suspect = false;
    /// Whether the upstream has no capacity for the request now: it reported that it is full, or the request
    /// would exceed its connections or memory.
    bool at_capacity = false;
};

struct relay_choice_settings {
    /// Load per slot from which an upstream gets no more requests.
    double max_load_per_slot = 1.0;
    /// Expected delay per running request, in milliseconds: each one slows the decoding steps of the others.
    /// Holds for an upstream of usual speed.
    double ms_per_request = 4;
    /// Time, in milliseconds, that is added to the cost of upstreams that aren't owners of the prefix. Load
    /// reports of peers arrive late, and without it requests for one prefix would spread over all upstreams.
    double non_owner_penalty_ms = 300;
    /// Number of upstreams at the front of a prefix's rendezvous order that are its owners.
    std::size_t owners = 2;
    /// Extra load per slot up to which an upstream in the node's own failure domain is preferred.
    double domain_preference = 0.05;
};

/// The properties of a request that decide its placement.
struct placement_request {
    /// Hash of the shared prompt prefix; 0 where there is no prompt.
    std::uint64_t prefix = 0;
    std::string failure_domain;
    /// Upstreams that the request was sent to already.
    std::vector<std::string> tried;
    /// Two random numbers in [0, 1).
    double first = 0;
    double second = 0;
};

enum class relay_reason { prefix_owner, prefix_overflow, two_choices, beyond_pace, last_resort, full, none };

struct relay_choice {
    /// Empty where no upstream can take the request now.
    std::string id;
    relay_reason reason = relay_reason::none;
    int load = 0;
    /// Expected prefill time of the prompts ahead of the request and of its own prompt, in milliseconds.
    double pending_ms = 0;
    double own_prefill_ms = 0;
};

/// Chooses an upstream. A request with a prompt goes to the upstream with the earliest expected first byte:
/// the first owner of its prefix, unless waiting there takes longer than the prefill on another upstream. A
/// request without one goes to that of two random upstreams that is expected to be done first, by load and
/// speed. Upstreams that would exceed their pace are used only where no other has capacity, and suspect ones
/// only after them. The reason is `full` where all untried upstreams lack capacity and `none` where
/// there are none.
relay_choice choose_relay_upstream(const std::vector<relay_candidate>& candidates,
                                   const relay_choice_settings& settings, const placement_request& placement);

std::string_view to_string(relay_reason value);

} // namespace figspoke::policy
