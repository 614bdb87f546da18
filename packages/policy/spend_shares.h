#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

/// The durable part of an account's daily spending limit, changed by compare-and-swap only. Money is in
/// millionths of the currency unit.
struct spend_record {
    /// Day number; rises only.
    std::int64_t period = 0;
    /// Money of the period that allocators have reserved so far.
    std::int64_t reserved = 0;
};

/// A record to store, and what its storing reserves.
struct spend_reservation {
    spend_record record;
    std::int64_t amount = 0;
};

/// Plans the reservation of one more block; empty where the limit of the period is used up.
std::optional<spend_reservation> plan_reservation(const spend_record& record, std::int64_t period,
                                                  std::int64_t limit, std::int64_t block);

/// From a holder to an allocator. Totals are of the period and this allocator and rise only.
struct spend_demand {
    std::string account;
    std::string from;
    std::string allocator;
    std::int64_t period = 0;
    /// Money that the holder would like to have available.
    std::int64_t wanted = 0;
    std::int64_t granted_total = 0;
    std::int64_t returned_total = 0;
};

/// From an allocator to a holder: all that it has granted to this holder in the period.
struct spend_grant {
    std::string account;
    std::string to;
    std::string allocator;
    std::int64_t period = 0;
    std::int64_t granted_total = 0;
};

/// Running totals between one allocator and one holder.
struct spend_totals {
    std::int64_t granted = 0;
    std::int64_t returned = 0;
};

/// An allocator's reserved money that no holder has.
struct spend_pool {
    std::string account;
    /// Names one life of the allocator; never used again after a restart.
    std::string allocator;
    std::int64_t period = 0;
    std::int64_t free = 0;
    std::map<std::string, spend_totals> holders;
};

/// Adds money after the record that reserves it was stored.
void add_reserved(spend_pool& pool, std::int64_t period, std::int64_t amount);

/// Answers a demand with as much of the wanted money as is free; empty for a demand of another period.
std::optional<spend_grant> answer_spend_demand(spend_pool& pool, const spend_demand& demand);

/// A node's money of one account.
struct spend_holder {
    std::string account;
    std::string node;
    std::int64_t period = 0;
    std::int64_t spent = 0;
    std::map<std::string, spend_totals> allocators;
    /// Money isn't spent after this time without a new grant, so that a node that is cut off doesn't carry it
    /// into the next day.
    std::chrono::milliseconds hold_time{60000};
    core::steady_time usable_until{};
};

/// Returns the money that the holder may spend now.
std::int64_t available_spend(const spend_holder& holder, core::steady_time now);

/// Spends money; false where it isn't available.
bool take_spend(spend_holder& holder, std::int64_t amount, core::steady_time now);

/// Returns money that was taken in the same period and not used.
void return_spend(spend_holder& holder, std::int64_t period, std::int64_t amount);

/// Builds a demand that keeps `wanted` available and gives up what exceeds twice that.
spend_demand make_spend_demand(spend_holder& holder, const std::string& allocator, std::int64_t wanted,
                               core::steady_time now);

/// Takes over a grant; false where it is outdated.
bool accept_spend_grant(spend_holder& holder, const spend_grant& grant, core::steady_time now);

} // namespace figspoke::policy
