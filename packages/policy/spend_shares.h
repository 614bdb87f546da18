#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

/// The stored part of an account's daily spending limit, changed only by compare-and-swap. Amounts of money
/// are in millionths of the currency unit.
struct spend_record {
    /// Day number; never decreases.
    std::int64_t period = 0;
    /// Money that allocators have reserved in the period so far.
    std::int64_t reserved = 0;
};

/// A record to store and the amount that is reserved once it is stored.
struct spend_reservation {
    spend_record record;
    std::int64_t amount = 0;
};

/// Plans the reservation of one more block; empty if the limit of the period is used up.
std::optional<spend_reservation> plan_reservation(const spend_record& record, std::int64_t period,
                                                  std::int64_t limit, std::int64_t block);

/// Message from a holder to an allocator. The totals cover the period and this allocator and never decrease.
struct spend_demand {
    std::string account;
    std::string from;
    std::string allocator;
    std::int64_t period = 0;
    /// Additional money that the holder wants to have available.
    std::int64_t wanted = 0;
    std::int64_t granted_total = 0;
    std::int64_t returned_total = 0;
};

/// Message from an allocator to a holder: the total that it has granted to this holder in the period.
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

/// The money that an allocator has reserved, and its grants to holders.
struct spend_pool {
    std::string account;
    /// Name of one incarnation of the allocator; not reused after a restart.
    std::string allocator;
    std::int64_t period = 0;
    /// Reserved money that isn't granted to a holder.
    std::int64_t available = 0;
    std::map<std::string, spend_totals> holders;
};

/// Adds reserved money after the record that reserves it was stored.
void add_reserved(spend_pool& pool, std::int64_t period, std::int64_t amount);

/// Answers a demand with as much of the wanted money as is available; empty for a demand to another allocator
/// or of a later period.
std::optional<spend_grant> answer_spend_demand(spend_pool& pool, const spend_demand& demand);

/// The money that a node may spend for one account.
struct spend_holder {
    std::string account;
    std::string node;
    std::int64_t period = 0;
    std::int64_t spent = 0;
    std::map<std::string, spend_totals> allocators;
    /// How long money may be spent after the latest grant, so that a disconnected node doesn't carry it into
    /// the next day.
    std::chrono::milliseconds grant_time{60000};
    core::steady_time usable_until{};
};

/// Returns the money that the holder may spend now.
std::int64_t available_spend(const spend_holder& holder, core::steady_time now);

/// Spends money. Returns false if the amount isn't available.
bool take_spend(spend_holder& holder, std::int64_t amount, core::steady_time now);

/// Returns money that was taken but not used. Does nothing if `period` isn't the current period.
void return_spend(spend_holder& holder, std::int64_t period, std::int64_t amount);

/// Creates a demand that keeps `wanted` available and returns what exceeds twice that.
spend_demand make_spend_demand(spend_holder& holder, const std::string& allocator, std::int64_t wanted,
                               core::steady_time now);

/// Applies a grant. Returns false if it is outdated or for another node.
bool accept_spend_grant(spend_holder& holder, const spend_grant& grant, core::steady_time now);

} // namespace figspoke::policy
