// How the sum of all shares stays within the limit.
//
// A limit has two parts. The base part is divided evenly over `max_nodes` and needs no grant. The rest is the
// pool, which one allocator per account divides by grants. The allocator is the node that last raised the
// account's epoch by compare-and-swap in the key-value service. Rendezvous hashing over the live members only
// decides which node tries, so an outdated view of the members costs time but not safety.
//
// 1. Grants expire. A holder counts a grant's time from when it sent the demand, which is before the
//    allocator issued the grant; the allocator counts one and a half times as long from the issue. Network
//    delay, a pause of either process and clock rates that differ by up to a third therefore never let a
//    holder use a rate that the allocator considers free. Clocks of different nodes are never compared. The
//    steady clock must keep running while a process is stopped.
// 2. One grant at a time. A holder uses only its newest grant and never returns to an older one (epoch and id
//    increase). The allocator counts the greatest of the holder's grants that may be in use until a demand or
//    release names a newer one as held, so lost, late, repeated or reordered messages only delay reuse.
//    Demands carry a sequence number, and older ones are ignored.
// 3. The allocator grants at most the pool minus what it counts for all other holders.
// 4. One allocator at a time. An allocator issues grants only within two thirds of `authority_time` after it
//    sent its last successful compare-and-swap on the epoch. Once the compare-and-swap for the next epoch has
//    succeeded, its own can't, so it issues its last grant less than `authority_time` after that. The new
//    allocator waits for this time from its confirmation, and then for the time of the longest grant, before
//    it grants freely.
// 5. Adoption. Between these two times the set of earlier grants can only shrink, and its sum is within the
//    pool. A holder that has received a message of the new epoch (sent after the old allocator stopped) no
//    longer accepts grants of earlier epochs. If it then reports a grant that is still in use, the new
//    allocator may replace it by one of at most the same rate, since the sum can't grow. Shares therefore
//    survive a change of allocator.
// 6. Buckets. Buckets start empty, hold at most rate times `burst`, and lose the excess when their rate
//    falls. The sum of levels is at most limit times `burst`, so in any time t the fleet spends at most what
//    one bucket with the whole limit would allow: limit times (t + `burst`).
//
// In a partition, a side without the key-value service uses its grants until they expire and then only the
// base part. An agreement among the live members only was rejected, since two sides of a partition with
// different views of the members could both believe that they hold a majority.
#include "policy/rate_shares.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

constexpr std::size_t max_sent_demands = 64;
// Demands exceed the recent use by this factor, so that a rising load isn't limited until the next demand.
constexpr double demand_margin = 1.25;

double base_rate(const rate_holder& holder) {
    const auto nodes = static_cast<double>(std::max<std::size_t>(holder.settings.max_nodes, 1));
    return holder.limit * holder.settings.base_fraction / nodes;
}

double pool_rate(const rate_allocator& allocator) {
    return allocator.limit * (1 - allocator.settings.base_fraction);
}

// Refills the bucket up to `now`; the granted rate counts only until the grant expires.
void update_bucket(rate_holder& holder, core::steady_time now) {
    if (holder.granted_rate > 0 && now >= holder.grant_expires_at) {
        set_rate(holder.bucket, base_rate(holder),
                 std::max(holder.grant_expires_at, holder.bucket.updated_at));
        holder.granted_rate = 0;
    }
    refill(holder.bucket, now);
}

std::optional<core::steady_time> sent_time(const rate_holder& holder, std::uint64_t sequence) {
    for (const auto& [number, time] : holder.sent_demands) {
        if (number == sequence) {
            return time;
        }
    }
    return std::nullopt;
}

void update_wanted_rate(rate_holder& holder, core::steady_time now) {
    const double elapsed_s = core::to_seconds(now - holder.requested_since);
    if (elapsed_s <= 0) {
        return;
    }
    constexpr double rate_decay_s = 2.0;
    constexpr double largest_decay_s = 30.0;
    const double decay = std::exp(-elapsed_s / rate_decay_s);
    holder.requested_rate = decay * holder.requested_rate + (1 - decay) * holder.requested_tokens / elapsed_s;
    holder.largest_request *= std::exp(-elapsed_s / largest_decay_s);
    // A bucket smaller than a request could never admit it.
    const double rate_for_largest = holder.largest_request / core::to_seconds(holder.settings.burst);
    holder.wanted_rate = std::max(holder.requested_rate, rate_for_largest) * demand_margin;
    holder.requested_tokens = 0;
    holder.requested_since = now;
}

void remove_expired_grants(rate_allocator& allocator, core::steady_time now) {
    for (auto it = allocator.holders.begin(); it != allocator.holders.end();) {
        auto& grants = it->second.issued_grants;
        grants.erase(std::remove_if(grants.begin(), grants.end(),
                                    [&](const issued_grant& grant) { return grant.expires_at <= now; }),
                     grants.end());
        const bool silent = now - it->second.last_seen > allocator.settings.grant_time;
        it = grants.empty() && silent ? allocator.holders.erase(it) : std::next(it);
    }
}

// Returns the greatest granted rate that a holder may be using.
double counted_rate(const holder_record& record) {
    double rate = 0;
    for (const auto& grant : record.issued_grants) {
        rate = std::max(rate, grant.rate);
    }
    return rate;
}

double counted_rate_of_others(const rate_allocator& allocator, const std::string& holder) {
    double sum = 0;
    for (const auto& [name, record] : allocator.holders) {
        sum += name == holder ? 0 : counted_rate(record);
    }
    return sum;
}

// Max-min fairness: returns the rate up to which all demands are met if the pool can't meet them in full.
double fair_level(std::vector<double> wanted_rates, double pool) {
    std::sort(wanted_rates.begin(), wanted_rates.end());
    double remaining = pool;
    for (std::size_t i = 0; i < wanted_rates.size(); ++i) {
        const double equal_share = remaining / static_cast<double>(wanted_rates.size() - i);
        if (wanted_rates[i] >= equal_share) {
            return equal_share;
        }
        remaining -= wanted_rates[i];
    }
    return pool;
}

double target_rate(const rate_allocator& allocator, const holder_record& record) {
    std::vector<double> wanted_rates;
    double sum = 0;
    for (const auto& [name, other] : allocator.holders) {
        wanted_rates.push_back(other.wanted_rate);
        sum += other.wanted_rate;
    }
    const double pool = pool_rate(allocator);
    if (sum > pool) {
        return std::min(record.wanted_rate, fair_level(std::move(wanted_rates), pool));
    }
    // Half of the unwanted rate is divided evenly, so that most nodes can meet a new demand at once.
    return record.wanted_rate + (pool - sum) / 2 / static_cast<double>(allocator.holders.size());
}

std::chrono::nanoseconds counted_time(const rate_share_settings& settings) {
    return std::chrono::nanoseconds(settings.grant_time) * 3 / 2;
}

void issue_grant(rate_allocator& allocator, holder_record& record, std::uint64_t id, double rate,
                 core::steady_time now) {
    auto& grants = record.issued_grants;
    grants.erase(std::remove_if(grants.begin(), grants.end(),
                                [&](const issued_grant& grant) { return grant.rate <= rate; }),
                 grants.end());
    grants.push_back({id, rate, now + counted_time(allocator.settings)});
}

// While grants of earlier epochs may be in use, a holder is granted at most the rate that it already holds.
double adopted_rate(rate_allocator& allocator, holder_record& record, const share_demand& demand,
                    core::steady_time now) {
    if (demand.known_epoch != allocator.epoch) {
        return 0;
    }
    if (record.issued_grants.empty() && demand.held_epoch < allocator.epoch && demand.held_rate > 0) {
        issue_grant(allocator, record, 0, demand.held_rate, now);
    }
    return counted_rate(record);
}

} // namespace

rate_holder make_rate_holder(const rate_share_settings& settings, std::string node, std::string account,
                             double limit, core::steady_time now) {
    rate_holder holder;
    holder.node = std::move(node);
    holder.account = std::move(account);
    holder.settings = settings;
    holder.limit = limit;
    holder.bucket.depth = settings.burst;
    holder.bucket.updated_at = now;
    holder.bucket.rate = base_rate(holder);
    holder.requested_since = now;
    return holder;
}

double usable_rate(const rate_holder& holder, core::steady_time now) {
    return base_rate(holder) + (now < holder.grant_expires_at ? holder.granted_rate : 0);
}

bool take_tokens(rate_holder& holder, double tokens, core::steady_time now) {
    update_bucket(holder, now);
    holder.requested_tokens += tokens;
    holder.largest_request = std::max(holder.largest_request, tokens);
    return try_take(holder.bucket, tokens, now);
}

void return_tokens(rate_holder& holder, double tokens, core::steady_time now) {
    update_bucket(holder, now);
    holder.requested_tokens = std::max(0.0, holder.requested_tokens - tokens);
    refund(holder.bucket, tokens, now);
}

share_demand make_demand(rate_holder& holder, core::steady_time now) {
    update_bucket(holder, now);
    update_wanted_rate(holder, now);
    holder.sent_demands.emplace_back(++holder.last_sequence, now);
    if (holder.sent_demands.size() > max_sent_demands) {
        holder.sent_demands.pop_front();
    }
    const bool has_grant = holder.granted_rate > 0;
    return {holder.account,
            holder.node,
            holder.last_sequence,
            holder.wanted_rate,
            holder.known_epoch,
            has_grant ? holder.grant_epoch : 0,
            has_grant ? holder.grant_id : 0,
            holder.granted_rate};
}

bool accept_grant(rate_holder& holder, const share_grant& grant, core::steady_time now) {
    update_bucket(holder, now);
    if (grant.epoch < holder.known_epoch) {
        return false;
    }
    holder.known_epoch = grant.epoch;
    const auto sent = sent_time(holder, grant.demand_sequence);
    const bool is_newer = std::pair(grant.epoch, grant.id) > std::pair(holder.grant_epoch, holder.grant_id);
    if (grant.id == 0 || !is_newer || !sent || now >= *sent + holder.settings.grant_time) {
        return false;
    }
    holder.grant_epoch = grant.epoch;
    holder.grant_id = grant.id;
    holder.granted_rate = grant.rate;
    holder.grant_expires_at = *sent + holder.settings.grant_time;
    set_rate(holder.bucket, base_rate(holder) + grant.rate, now);
    return true;
}

std::optional<share_release> release_grant(rate_holder& holder, core::steady_time now) {
    update_bucket(holder, now);
    if (holder.granted_rate <= 0) {
        return std::nullopt;
    }
    holder.granted_rate = 0;
    set_rate(holder.bucket, base_rate(holder), now);
    return share_release{holder.account, holder.node, holder.grant_epoch, holder.grant_id};
}

rate_allocator start_epoch(const rate_share_settings& settings, std::string account, double limit,
                           std::uint64_t epoch, core::steady_time sent, core::steady_time now) {
    rate_allocator allocator;
    allocator.account = std::move(account);
    allocator.settings = settings;
    allocator.limit = limit;
    allocator.epoch = epoch;
    confirm_epoch(allocator, sent);
    allocator.predecessor_stops_at = epoch > 1 ? now + settings.authority_time : now;
    allocator.earlier_grants_expire_at =
        epoch > 1 ? allocator.predecessor_stops_at + counted_time(settings) : allocator.predecessor_stops_at;
    return allocator;
}

void confirm_epoch(rate_allocator& allocator, core::steady_time sent) {
    const auto expires_at = sent + std::chrono::nanoseconds(allocator.settings.authority_time) * 2 / 3;
    allocator.authority_expires_at = std::max(allocator.authority_expires_at, expires_at);
}

std::optional<share_grant> answer_demand(rate_allocator& allocator, const share_demand& demand,
                                         core::steady_time now) {
    if (now >= allocator.authority_expires_at || now < allocator.predecessor_stops_at) {
        return std::nullopt;
    }
    remove_expired_grants(allocator, now);
    holder_record& record = allocator.holders[demand.from];
    if (demand.sequence <= record.last_sequence) {
        return std::nullopt;
    }
    record.last_sequence = demand.sequence;
    record.wanted_rate = demand.wanted;
    record.last_seen = now;
    if (demand.held_epoch == allocator.epoch) {
        record_release(allocator, {demand.account, demand.from, demand.held_epoch, demand.held_id - 1});
    }
    double rate = 0;
    if (now < allocator.earlier_grants_expire_at) {
        rate = adopted_rate(allocator, record, demand, now);
    } else {
        const double available = pool_rate(allocator) - counted_rate_of_others(allocator, demand.from);
        rate = std::max(0.0, std::min(target_rate(allocator, record), available));
    }
    const std::uint64_t id = rate > 0 ? ++allocator.last_grant_id : 0;
    if (id != 0) {
        issue_grant(allocator, record, id, rate, now);
    }
    return share_grant{allocator.account, demand.from, allocator.epoch, id, rate, demand.sequence};
}

void record_release(rate_allocator& allocator, const share_release& release) {
    const auto found = allocator.holders.find(release.from);
    if (found == allocator.holders.end() || release.epoch != allocator.epoch) {
        return;
    }
    auto& grants = found->second.issued_grants;
    grants.erase(std::remove_if(grants.begin(), grants.end(),
                                [&](const issued_grant& grant) { return grant.id <= release.id; }),
                 grants.end());
}

} // namespace figspoke::policy
