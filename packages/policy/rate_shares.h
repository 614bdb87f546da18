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

/// Times and parts of the rate share protocol; the same on every node.
struct rate_share_settings {
    /// How long a confirmed allocator may issue grants. It stops itself after two thirds of it.
    std::chrono::milliseconds authority_time{3000};
    /// How long a grant may be used, from the time at which its holder sent the demand. The allocator counts
    /// it for one and a half times as long.
    std::chrono::milliseconds grant_time{20000};
    /// Part of a limit that nodes may use without a grant, divided evenly over `max_nodes`.
    double base_fraction = 0.1;
    /// The greatest number of nodes that are alive at once, paused or partitioned ones included.
    std::size_t max_nodes = 512;
    /// Depth of the buckets, which bounds the burst and the largest single request.
    std::chrono::milliseconds burst{10000};
};

/// From a holder to the allocator of an account.
struct share_demand {
    std::string account;
    /// The holder with its incarnation; a restarted process is another holder.
    std::string from;
    /// Rises with every demand of the holder.
    std::uint64_t sequence = 0;
    /// Wanted rate in tokens a second.
    double wanted = 0;
    /// The newest allocator epoch of which the holder has had a message.
    std::uint64_t known_epoch = 0;
    /// The grant in use, if any. The holder uses no older one any more.
    std::uint64_t held_epoch = 0;
    std::uint64_t held_id = 0;
    double held_rate = 0;
};

/// From the allocator to a holder, always in reply to a demand. Id 0 grants nothing and tells the epoch only.
struct share_grant {
    std::string account;
    std::string to;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
    double rate = 0;
    std::uint64_t demand_sequence = 0;
};

/// From a holder that has stopped using its grants up to the named one.
struct share_release {
    std::string account;
    std::string from;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
};

/// A node's share in the rate limit of one account.
struct rate_holder {
    std::string node;
    std::string account;
    rate_share_settings settings;
    /// The account's fleet-wide limit in tokens a second.
    double limit = 0;
    std::uint64_t known_epoch = 0;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
    double rate = 0;
    core::steady_time ends{};
    std::uint64_t sequence = 0;
    /// Sequences and send times of recent demands.
    std::deque<std::pair<std::uint64_t, core::steady_time>> sent;
    token_bucket bucket;
    /// Tokens asked for since the last demand, their mean rate and the wanted rate that follows.
    double asked = 0;
    double used = 0;
    double wanted = 0;
    /// The largest recent request; the share must be able to hold it.
    double largest = 0;
    core::steady_time asked_since{};
};

/// Builds a holder without a grant.
rate_holder make_rate_holder(const rate_share_settings& settings, std::string node, std::string account,
                             double limit, core::steady_time now);

/// Returns the rate that the holder may use now, in tokens a second.
double usable_rate(const rate_holder& holder, core::steady_time now);

/// Takes tokens from the node's share; false where the share doesn't hold them now.
bool take_tokens(rate_holder& holder, double tokens, core::steady_time now);

/// Returns tokens that were taken and not used.
void return_tokens(rate_holder& holder, double tokens, core::steady_time now);

/// Builds the demand for the allocator; to be sent about twice a second while the account is in use.
share_demand make_demand(rate_holder& holder, core::steady_time now);

/// Takes over a grant where it is newer than the one in use and still valid; false otherwise.
bool accept_grant(rate_holder& holder, const share_grant& grant, core::steady_time now);

/// Gives up the grant in use and returns the message that tells the allocator; empty without a grant.
std::optional<share_release> give_up(rate_holder& holder, core::steady_time now);

/// A grant that may still be in use, and when it no longer can be.
struct issued_grant {
    std::uint64_t id = 0;
    double rate = 0;
    core::steady_time ends;
};

/// What an allocator knows of one holder.
struct holder_record {
    std::uint64_t sequence = 0;
    double wanted = 0;
    core::steady_time seen{};
    std::vector<issued_grant> issued;
};

/// The allocator of one account's rate limit.
struct rate_allocator {
    std::string account;
    rate_share_settings settings;
    double limit = 0;
    std::uint64_t epoch = 0;
    /// The allocator issues nothing from this time on, unless it is confirmed again.
    core::steady_time authority_ends{};
    /// From this time on the previous allocator issues nothing.
    core::steady_time predecessor_stopped{};
    /// From this time on no grant of an earlier epoch is in use.
    core::steady_time predecessor_ended{};
    std::uint64_t last_id = 0;
    std::map<std::string, holder_record> holders;
};

/// Starts an epoch after the compare-and-swap that raised it to `epoch` succeeded; sent at `sent`, confirmed
/// at `now`. Epoch 1 is the first one ever and has no predecessor.
rate_allocator start_epoch(const rate_share_settings& settings, std::string account, double limit,
                           std::uint64_t epoch, core::steady_time sent, core::steady_time now);

/// Extends the authority after a compare-and-swap that kept the epoch succeeded; sent at `sent`.
void confirm_epoch(rate_allocator& allocator, core::steady_time sent);

/// Answers a demand; empty where the demand is outdated or the allocator has no authority.
std::optional<share_grant> answer_demand(rate_allocator& allocator, const share_demand& demand,
                                         core::steady_time now);

/// Notes that a holder has given up grants.
void note_release(rate_allocator& allocator, const share_release& release);

} // namespace figspoke::policy
