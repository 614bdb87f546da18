// How the sum of all shares stays within the limit.
//
// A limit has two parts. The base part is divided evenly over `max_nodes` and needs no grant. The rest is the
// pool, which one allocator for each account divides by grants. The allocator is the node that last raised
// the account's epoch by compare-and-swap in the key-value service; rendezvous hashing over the live members
// only decides who tries, so a wrong view of the members costs time and not safety.
//
// 1. Use ends in time. A holder counts a grant's time from when it sent the demand, which is before the
//    allocator issued the grant; the allocator counts one and a half times as long from the issue. Delay in
//    the network, a pause of either process or up to a third of difference between clock rates therefore
//    never lets a holder use what the allocator considers free. No two clocks are compared. The steady clock
//    must run on while a process is stopped.
// 2. One grant at a time. A holder uses its newest grant only and never returns to an older one (epoch and id
//    rise). The allocator counts the greatest of the holder's grants that may be in use, until a demand or
//    release names a newer one as held, so lost, late, repeated or reordered messages only delay reuse.
//    Demands carry a sequence; an older one is ignored.
// 3. The allocator grants at most the pool less what it counts for all other holders.
// 4. One allocator at a time. An allocator issues only within two thirds of `authority_time` after it sent
// the
//    last successful compare-and-swap on its epoch. After the next epoch's compare-and-swap its own can't
//    succeed, so its last grant is issued less than `authority_time` after that. The new allocator counts
//    this time from its confirmation, and then the time of the longest grant, before it grants freely.
// 5. Adoption. Between the two times the set of earlier grants can only shrink, and its sum is within the
// pool.
//    A holder that has had a message of the new epoch (sent after the old allocator stopped) accepts no
//    grants of earlier epochs any more. If it then reports a grant still in use, the new allocator may
//    replace it by one of at most the same rate: the sum can't grow. Shares so survive a change of allocator.
// 6. Buckets. Buckets start empty, hold at most rate times `burst`, and lose the excess when their rate
// falls.
//    The sum of levels is at most limit times `burst`, so the fleet spends in any time t at most what one
//    bucket of the limit would allow: limit times (t + `burst`).
//
// In a partition, a side without the key-value service uses what it holds until the grants end and then the
// base part. Rejected: agreement among the live members only, since two sides of a partition with different
// views of the members could both believe that they hold a majority.
#include "policy/rate_shares.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

constexpr std::size_t max_sent = 64;
// A holder asks for more than it used so that a rising load isn't held back until the next demand.
constexpr double demand_margin = 1.25;

double base_rate(const rate_holder& holder) {
    const auto nodes = static_cast<double>(std::max<std::size_t>(holder.settings.max_nodes, 1));
    return holder.limit * holder.settings.base_fraction / nodes;
}

double pool_of(const rate_allocator& allocator) {
    return allocator.limit * (1 - allocator.settings.base_fraction);
}

// Brings the bucket up to `now`, with the granted rate up to the grant's end only.
void refresh(rate_holder& holder, core::steady_time now) {
    if (holder.rate > 0 && now >= holder.ends) {
        set_rate(holder.bucket, base_rate(holder), std::max(holder.ends, holder.bucket.updated));
        holder.rate = 0;
    }
    refill(holder.bucket, now);
}

std::optional<core::steady_time> sent_time(const rate_holder& holder, std::uint64_t sequence) {
    for (const auto& [number, time] : holder.sent) {
        if (number == sequence) {
            return time;
        }
    }
    return std::nullopt;
}

void update_wanted(rate_holder& holder, core::steady_time now) {
    const double elapsed = core::to_seconds(now - holder.asked_since);
    if (elapsed <= 0) {
        return;
    }
    constexpr double rate_memory_s = 2.0;
    constexpr double largest_memory_s = 30.0;
    const double keep = std::exp(-elapsed / rate_memory_s);
    holder.used = keep * holder.used + (1 - keep) * holder.asked / elapsed;
    holder.largest *= std::exp(-elapsed / largest_memory_s);
    // A bucket smaller than a request could never admit it.
    const double holds_largest = holder.largest / core::to_seconds(holder.settings.burst);
    holder.wanted = std::max(holder.used, holds_largest) * demand_margin;
    holder.asked = 0;
    holder.asked_since = now;
}

void drop_ended(rate_allocator& allocator, core::steady_time now) {
    for (auto it = allocator.holders.begin(); it != allocator.holders.end();) {
        auto& issued = it->second.issued;
        issued.erase(std::remove_if(issued.begin(), issued.end(),
                                    [&](const issued_grant& grant) { return grant.ends <= now; }),
                     issued.end());
        const bool silent = now - it->second.seen > allocator.settings.grant_time;
        it = issued.empty() && silent ? allocator.holders.erase(it) : std::next(it);
    }
}

double counted(const holder_record& record) {
    double rate = 0;
    for (const auto& grant : record.issued) {
        rate = std::max(rate, grant.rate);
    }
    return rate;
}

double counted_for_others(const rate_allocator& allocator, const std::string& holder) {
    double sum = 0;
    for (const auto& [name, record] : allocator.holders) {
        sum += name == holder ? 0 : counted(record);
    }
    return sum;
}

// The level up to which every wanted rate is met where the pool can't meet all (max-min fairness).
double fair_level(std::vector<double> wanted, double pool) {
    std::sort(wanted.begin(), wanted.end());
    double left = pool;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        const double even = left / static_cast<double>(wanted.size() - i);
        if (wanted[i] >= even) {
            return even;
        }
        left -= wanted[i];
    }
    return pool;
}

double target_rate(const rate_allocator& allocator, const holder_record& record) {
    std::vector<double> wanted;
    double sum = 0;
    for (const auto& [name, other] : allocator.holders) {
        wanted.push_back(other.wanted);
        sum += other.wanted;
    }
    const double pool = pool_of(allocator);
    if (sum > pool) {
        return std::min(record.wanted, fair_level(std::move(wanted), pool));
    }
    // Half of what nobody wants is handed out evenly, so that a new demand is met at once on most nodes.
    return record.wanted + (pool - sum) / 2 / static_cast<double>(allocator.holders.size());
}

std::chrono::nanoseconds counted_time(const rate_share_settings& settings) {
    return std::chrono::nanoseconds(settings.grant_time) * 3 / 2;
}

void issue(rate_allocator& allocator, holder_record& record, std::uint64_t id, double rate,
           core::steady_time now) {
    auto& issued = record.issued;
    issued.erase(std::remove_if(issued.begin(), issued.end(),
                                [&](const issued_grant& grant) { return grant.rate <= rate; }),
                 issued.end());
    issued.push_back({id, rate, now + counted_time(allocator.settings)});
}

// While grants of earlier epochs may be in use, a holder gets at most what it holds already.
double adopted_rate(rate_allocator& allocator, holder_record& record, const share_demand& demand,
                    core::steady_time now) {
    if (demand.known_epoch != allocator.epoch) {
        return 0;
    }
    if (record.issued.empty() && demand.held_epoch < allocator.epoch && demand.held_rate > 0) {
        issue(allocator, record, 0, demand.held_rate, now);
    }
    return counted(record);
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
    holder.bucket.updated = now;
    holder.bucket.rate = base_rate(holder);
    holder.asked_since = now;
    return holder;
}

double usable_rate(const rate_holder& holder, core::steady_time now) {
    return base_rate(holder) + (now < holder.ends ? holder.rate : 0);
}

bool take_tokens(rate_holder& holder, double tokens, core::steady_time now) {
    refresh(holder, now);
    holder.asked += tokens;
    holder.largest = std::max(holder.largest, tokens);
    return try_take(holder.bucket, tokens, now);
}

void return_tokens(rate_holder& holder, double tokens, core::steady_time now) {
    refresh(holder, now);
    holder.asked = std::max(0.0, holder.asked - tokens);
    give_back(holder.bucket, tokens, now);
}

share_demand make_demand(rate_holder& holder, core::steady_time now) {
    refresh(holder, now);
    update_wanted(holder, now);
    holder.sent.emplace_back(++holder.sequence, now);
    if (holder.sent.size() > max_sent) {
        holder.sent.pop_front();
    }
    const bool holds = holder.rate > 0;
    return {holder.account,        holder.node,        holder.sequence,
            holder.wanted,         holder.known_epoch, holds ? holder.epoch : 0,
            holds ? holder.id : 0, holder.rate};
}

bool accept_grant(rate_holder& holder, const share_grant& grant, core::steady_time now) {
    refresh(holder, now);
    if (grant.epoch < holder.known_epoch) {
        return false;
    }
    holder.known_epoch = grant.epoch;
    const auto sent = sent_time(holder, grant.demand_sequence);
    const bool newer = std::pair(grant.epoch, grant.id) > std::pair(holder.epoch, holder.id);
    if (grant.id == 0 || !newer || !sent || now >= *sent + holder.settings.grant_time) {
        return false;
    }
    holder.epoch = grant.epoch;
    holder.id = grant.id;
    holder.rate = grant.rate;
    holder.ends = *sent + holder.settings.grant_time;
    set_rate(holder.bucket, base_rate(holder) + grant.rate, now);
    return true;
}

std::optional<share_release> give_up(rate_holder& holder, core::steady_time now) {
    refresh(holder, now);
    if (holder.rate <= 0) {
        return std::nullopt;
    }
    holder.rate = 0;
    set_rate(holder.bucket, base_rate(holder), now);
    return share_release{holder.account, holder.node, holder.epoch, holder.id};
}

rate_allocator start_epoch(const rate_share_settings& settings, std::string account, double limit,
                           std::uint64_t epoch, core::steady_time sent, core::steady_time now) {
    rate_allocator allocator;
    allocator.account = std::move(account);
    allocator.settings = settings;
    allocator.limit = limit;
    allocator.epoch = epoch;
    confirm_epoch(allocator, sent);
    allocator.predecessor_stopped = epoch > 1 ? now + settings.authority_time : now;
    allocator.predecessor_ended =
        epoch > 1 ? allocator.predecessor_stopped + counted_time(settings) : allocator.predecessor_stopped;
    return allocator;
}

void confirm_epoch(rate_allocator& allocator, core::steady_time sent) {
    const auto ends = sent + std::chrono::nanoseconds(allocator.settings.authority_time) * 2 / 3;
    allocator.authority_ends = std::max(allocator.authority_ends, ends);
}

std::optional<share_grant> answer_demand(rate_allocator& allocator, const share_demand& demand,
                                         core::steady_time now) {
    if (now >= allocator.authority_ends || now < allocator.predecessor_stopped) {
        return std::nullopt;
    }
    drop_ended(allocator, now);
    holder_record& record = allocator.holders[demand.from];
    if (demand.sequence <= record.sequence) {
        return std::nullopt;
    }
    record.sequence = demand.sequence;
    record.wanted = demand.wanted;
    record.seen = now;
    if (demand.held_epoch == allocator.epoch) {
        note_release(allocator, {demand.account, demand.from, demand.held_epoch, demand.held_id - 1});
    }
    double rate = 0;
    if (now < allocator.predecessor_ended) {
        rate = adopted_rate(allocator, record, demand, now);
    } else {
        const double free = pool_of(allocator) - counted_for_others(allocator, demand.from);
        rate = std::max(0.0, std::min(target_rate(allocator, record), free));
    }
    const std::uint64_t id = rate > 0 ? ++allocator.last_id : 0;
    if (id != 0) {
        issue(allocator, record, id, rate, now);
    }
    return share_grant{allocator.account, demand.from, allocator.epoch, id, rate, demand.sequence};
}

void note_release(rate_allocator& allocator, const share_release& release) {
    const auto found = allocator.holders.find(release.from);
    if (found == allocator.holders.end() || release.epoch != allocator.epoch) {
        return;
    }
    auto& issued = found->second.issued;
    issued.erase(std::remove_if(issued.begin(), issued.end(),
                                [&](const issued_grant& grant) { return grant.id <= release.id; }),
                 issued.end());
}

} // namespace figspoke::policy
