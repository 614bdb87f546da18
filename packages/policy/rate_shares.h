#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "policy/token_bucket.h"

namespace figspoke::policy {

/// Settings of the rate share protocol; all nodes must use the same values.
struct rate_share_settings {
    /// Upper bound on how long a confirmed allocator issues grants. It stops after two thirds of this time.
    std::chrono::milliseconds authority_time{3000};
    /// How long a grant is valid, from the time at which its holder sent the demand. The allocator counts it
    /// for one and a half times as long.
    std::chrono::milliseconds grant_time{20000};
    /// Fraction of a limit that nodes may use without a grant, divided evenly over `max_nodes`.
    double base_fraction = 0.1;
    /// Maximum number of nodes that are alive at once, including paused and partitioned ones.
    std::size_t max_nodes = 512;
    /// Depth of the buckets, which bounds the burst and the largest single request.
    std::chrono::milliseconds burst{10000};
};

/// Message from a holder to the allocator of an account.
struct share_demand {
    std::string account;
    /// The holder's name with its incarnation; a restarted process is a different holder.
    std::string from;
    /// Increases with every demand of the holder.
    std::uint64_t sequence = 0;
    /// Wanted rate in tokens per second.
    double wanted = 0;
    /// The newest allocator epoch from which the holder has received a message.
    std::uint64_t known_epoch = 0;
    /// The grant in use, if any. The holder no longer uses older ones.
    std::uint64_t held_epoch = 0;
    std::uint64_t held_id = 0;
    double held_rate = 0;
};

/// Message from the allocator to a holder, always in reply to a demand. Id 0 grants nothing and only
/// announces the epoch.
struct share_grant {
    std::string account;
    std::string to;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
    double rate = 0;
    std::uint64_t demand_sequence = 0;
};

/// Message from a holder that no longer uses its grants of `epoch` up to `id`.
struct share_release {
    std::string account;
    std::string from;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
};

/// A node's share of the rate limit of one account.
struct rate_holder {
    std::string node;
    std::string account;
    rate_share_settings settings;
    /// The account's fleet-wide limit in tokens per second.
    double limit = 0;
    /// The newest allocator epoch from which a message was received.
    std::uint64_t known_epoch = 0;
    /// The newest grant; `granted_rate` is 0 if none is in use.
    std::uint64_t grant_epoch = 0;
    std::uint64_t grant_id = 0;
    double granted_rate = 0;
    core::steady_time grant_expires_at{};
    /// Sequence number of the last demand.
    std::uint64_t last_sequence = 0;
    /// Sequence numbers and send times of recent demands.
    std::deque<std::pair<std::uint64_t, core::steady_time>> sent_demands;
    token_bucket bucket;
    /// Tokens requested since the last demand, their mean rate and the rate to demand.
    double requested_tokens = 0;
    double requested_rate = 0;
    double wanted_rate = 0;
    /// Tokens of the largest recent request; the bucket must be able to hold them.
    double largest_request = 0;
    core::steady_time requested_since{};
};

/// Creates a holder without a grant.
rate_holder make_rate_holder(const rate_share_settings& settings, std::string node, std::string account,
                             double limit, core::steady_time now);

/// Returns the rate that the holder may use now, in tokens per second.
double usable_rate(const rate_holder& holder, core::steady_time now);

/// Takes tokens from the node's share. Returns false and takes none if the share doesn't hold them now.
bool take_tokens(rate_holder& holder, double tokens, core::steady_time now);

/// Returns tokens that were taken but not used.
void return_tokens(rate_holder& holder, double tokens, core::steady_time now);

/// Creates the demand for the allocator, to be sent about twice per second while the account is in use.
share_demand make_demand(rate_holder& holder, core::steady_time now);

/// Switches to a grant that is newer than the one in use and still valid. Returns false for other grants.
bool accept_grant(rate_holder& holder, const share_grant& grant, core::steady_time now);

/// Stops using the current grant and returns the message for the allocator; empty if no grant is in use.
std::optional<share_release> release_grant(rate_holder& holder, core::steady_time now);

/// A grant that the allocator counts as in use until `expires_at`.
struct issued_grant {
    std::uint64_t id = 0;
    double rate = 0;
    core::steady_time expires_at;
};

/// What an allocator knows about one holder.
struct holder_record {
    /// Sequence number of the holder's newest demand.
    std::uint64_t last_sequence = 0;
    double wanted_rate = 0;
    core::steady_time last_seen{};
    std::vector<issued_grant> issued_grants;
};

/// The allocator of one account's rate limit.
struct rate_allocator {
    std::string account;
    rate_share_settings settings;
    double limit = 0;
    std::uint64_t epoch = 0;
    /// From this time on the allocator issues no grants, unless its epoch is confirmed again.
    core::steady_time authority_expires_at{};
    /// From this time on the previous allocator issues no grants.
    core::steady_time predecessor_stops_at{};
    /// From this time on no grant of an earlier epoch is in use.
    core::steady_time earlier_grants_expire_at{};
    std::uint64_t last_grant_id = 0;
    std::map<std::string, holder_record> holders;
};

/// Creates the allocator of `epoch` after the compare-and-swap that raised the account's epoch to it, sent at
/// `sent`, was confirmed at `now`. Epoch 1 has no predecessor.
rate_allocator start_epoch(const rate_share_settings& settings, std::string account, double limit,
                           std::uint64_t epoch, core::steady_time sent, core::steady_time now);

/// Extends the allocator's authority after a compare-and-swap that kept the epoch, sent at `sent`, succeeded.
void confirm_epoch(rate_allocator& allocator, core::steady_time sent);

/// Answers a demand; empty if the demand is outdated or the allocator has no authority.
std::optional<share_grant> answer_demand(rate_allocator& allocator, const share_demand& demand,
                                         core::steady_time now);

/// Records that a holder has released grants.
void record_release(rate_allocator& allocator, const share_release& release);

} // namespace figspoke::policy
