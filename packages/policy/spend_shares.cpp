// How the sum of all spending stays within the daily limit.
//
// Unlike a rate, money is conserved: each unit is in exactly one place. An allocator reserves a block by
// compare-and-swap on the account's record before it grants any of it, so two allocators never own the same
// money, even if both believe that they are the only one. This takes about one write per block (a 64th of the
// limit by default) instead of one per request. Allocator and holder exchange running totals that never
// decrease: the next message makes up for a lost one, and a late or repeated one changes nothing. A holder
// subtracts the money that it returns before it sends the message. The money of nodes that die is lost for
// the rest of the day, so the fleet spends too little rather than too much.
#include "policy/spend_shares.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

std::int64_t balance(const spend_holder& holder) {
    std::int64_t sum = -holder.spent;
    for (const auto& [name, totals] : holder.allocators) {
        sum += totals.granted - totals.returned;
    }
    return sum;
}

void start_period(spend_holder& holder, std::int64_t period) {
    holder.period = period;
    holder.spent = 0;
    holder.allocators.clear();
}

} // namespace

std::optional<spend_reservation> plan_reservation(const spend_record& record, std::int64_t period,
                                                  std::int64_t limit, std::int64_t block) {
    spend_record next = record;
    if (period > record.period) {
        next = {period, 0};
    }
    const std::int64_t amount = std::min(std::max<std::int64_t>(block, 1), limit - next.reserved);
    if (amount <= 0) {
        return std::nullopt;
    }
    next.reserved += amount;
    return spend_reservation{next, amount};
}

void add_reserved(spend_pool& pool, std::int64_t period, std::int64_t amount) {
    if (period < pool.period) {
        return;
    }
    if (period > pool.period) {
        pool.period = period;
        pool.available = 0;
        pool.holders.clear();
    }
    pool.available += amount;
}

std::optional<spend_grant> answer_spend_demand(spend_pool& pool, const spend_demand& demand) {
    if (demand.allocator != pool.allocator || demand.period > pool.period) {
        return std::nullopt;
    }
    spend_totals& totals = pool.holders[demand.from];
    std::int64_t wanted = demand.wanted;
    if (demand.period == pool.period) {
        pool.available += std::max<std::int64_t>(0, demand.returned_total - totals.returned);
        totals.returned = std::max(totals.returned, demand.returned_total);
        wanted -= totals.granted - demand.granted_total;
    } else {
        wanted -= totals.granted;
    }
    const std::int64_t granted_now =
        std::clamp<std::int64_t>(wanted, 0, std::max<std::int64_t>(0, pool.available));
    totals.granted += granted_now;
    pool.available -= granted_now;
    return spend_grant{pool.account, demand.from, pool.allocator, pool.period, totals.granted};
}

std::int64_t available_spend(const spend_holder& holder, core::steady_time now) {
    return now < holder.usable_until ? std::max<std::int64_t>(0, balance(holder)) : 0;
}

bool take_spend(spend_holder& holder, std::int64_t amount, core::steady_time now) {
    if (amount > available_spend(holder, now)) {
        return false;
    }
    holder.spent += amount;
    return true;
}

void return_spend(spend_holder& holder, std::int64_t period, std::int64_t amount) {
    if (period == holder.period) {
        holder.spent -= std::clamp<std::int64_t>(amount, 0, holder.spent);
    }
}

spend_demand make_spend_demand(spend_holder& holder, const std::string& allocator, std::int64_t wanted,
                               core::steady_time now) {
    const auto found = holder.allocators.find(allocator);
    const std::int64_t surplus = std::max<std::int64_t>(0, balance(holder) - 2 * wanted);
    spend_totals totals;
    if (found != holder.allocators.end()) {
        const std::int64_t unreturned = found->second.granted - found->second.returned;
        found->second.returned += std::min(surplus, unreturned);
        totals = found->second;
    }
    const std::int64_t missing = std::max<std::int64_t>(0, wanted - available_spend(holder, now));
    // Money whose grant time has passed becomes usable again with the next grant, so it isn't demanded twice.
    const std::int64_t expired = now < holder.usable_until ? 0 : std::max<std::int64_t>(0, balance(holder));
    return {holder.account, holder.node,    allocator, holder.period, missing - std::min(missing, expired),
            totals.granted, totals.returned};
}

bool accept_spend_grant(spend_holder& holder, const spend_grant& grant, core::steady_time now) {
    if (grant.period < holder.period || grant.to != holder.node) {
        return false;
    }
    if (grant.period > holder.period) {
        start_period(holder, grant.period);
    }
    spend_totals& totals = holder.allocators[grant.allocator];
    totals.granted = std::max(totals.granted, grant.granted_total);
    holder.usable_until = std::max(holder.usable_until, now + holder.grant_time);
    return true;
}

} // namespace figspoke::policy
