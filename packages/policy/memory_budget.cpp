#include "policy/memory_budget.h"

#include <algorithm>
#include <set>
#include <utility>

namespace figspoke::policy {
namespace {

// Parts of the memory; the rest is the reserve.
constexpr std::size_t parts = 4;

std::size_t index_of(memory_share share) {
    return static_cast<std::size_t>(share);
}

} // namespace

std::string_view to_string(memory_share share) {
    switch (share) {
    case memory_share::connections:
        return "connections";
    case memory_share::requests:
        return "requests";
    case memory_share::answers:
        return "answers";
    }
    return "unknown";
}

memory_limits divide_memory(std::size_t bytes) {
    memory_limits limits{};
    limits.fill(bytes / parts);
    return limits;
}

std::optional<std::uint64_t> choose_yielding(const std::vector<memory_holder>& holders,
                                             const memory_demand& demand, core::steady_time now) {
    const memory_holder* slowest = nullptr;
    const memory_holder* largest = nullptr;
    double most_waste = 0;
    for (const auto& holder : holders) {
        if (holder.id == demand.holder || !holder.may_yield || holder.bytes == 0) {
            continue;
        }
        const auto stalled = now - holder.progressed_at;
        const double waste = double(holder.bytes) * core::to_seconds(stalled);
        if (stalled >= memory_patience && waste > most_waste) {
            slowest = &holder;
            most_waste = waste;
        }
        if (holder.bytes > demand.bytes && (largest == nullptr || holder.bytes > largest->bytes)) {
            largest = &holder;
        }
    }
    if (slowest == nullptr && demand.larger_yields) {
        slowest = largest;
    }
    return slowest == nullptr ? std::nullopt : std::make_optional(slowest->id);
}

memory_budget::memory_budget(const memory_limits& limits) {
    for (std::size_t i = 0; i < memory_share_count; ++i) {
        shares_.at(i).use.limit = limits.at(i);
    }
}

memory_reservation memory_budget::open(memory_share share) {
    const std::lock_guard lock(mutex_);
    return {this, share, next_id_++};
}

memory_budget::share_use memory_budget::use(memory_share share) const {
    const std::lock_guard lock(mutex_);
    return shares_.at(index_of(share)).use;
}

void memory_budget::lower_limit(memory_share share, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    auto& limit = shares_.at(index_of(share)).use.limit;
    limit = std::min(limit, bytes);
}

std::size_t memory_budget::missing_bytes(const share_state& share, const memory_demand& demand) {
    const auto own = share.holders.find(demand.holder);
    const auto held = own == share.holders.end() ? 0 : own->second.holder.bytes;
    const auto wanted = share.use.used + demand.bytes;
    return wanted > share.use.limit + held ? wanted - share.use.limit - held : 0;
}

// The bytes of a holder that yields count as free at once: it ends before more bytes are read.
bool memory_budget::make_room(share_state& share, std::unique_lock<std::mutex>& lock,
                              const memory_demand& demand, core::steady_time now) {
    std::set<std::uint64_t> declined;
    while (missing_bytes(share, demand) > 0) {
        std::vector<memory_holder> holders;
        for (const auto& [id, known] : share.holders) {
            if (declined.count(id) == 0) {
                holders.push_back(known.holder);
            }
        }
        const auto chosen = choose_yielding(holders, demand, now);
        if (!chosen) {
            return false;
        }
        const auto give_up = share.holders.at(*chosen).give_up;
        lock.unlock();
        const bool yields = give_up();
        lock.lock();
        const auto found = share.holders.find(*chosen);
        if (found == share.holders.end()) {
            continue;
        }
        if (!yields) {
            declined.insert(*chosen);
            continue;
        }
        ++share.use.yielded;
        share.use.used -= found->second.holder.bytes;
        found->second.holder.bytes = 0;
        found->second.yielded = true;
    }
    return true;
}

memory_reservation::~memory_reservation() {
    release();
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), share_(other.share_), id_(other.id_),
      bytes_(std::exchange(other.bytes_, 0)), give_up_(std::move(other.give_up_)) {}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept {
    if (this != &other) {
        release();
        budget_ = std::exchange(other.budget_, nullptr);
        share_ = other.share_;
        id_ = other.id_;
        bytes_ = std::exchange(other.bytes_, 0);
        give_up_ = std::move(other.give_up_);
    }
    return *this;
}

bool memory_reservation::resize(std::size_t bytes, core::steady_time now) {
    if (budget_ == nullptr || bytes == bytes_) {
        bytes_ = bytes;
        return true;
    }
    std::unique_lock lock(budget_->mutex_);
    auto& share = budget_->shares_.at(index_of(share_));
    auto own = share.holders.find(id_);
    if (own != share.holders.end() && own->second.yielded) {
        return false;
    }
    // A larger holder of a body that is read stays: its caller is as sound as the one who asks.
    const memory_demand demand{id_, bytes, share_ == memory_share::answers};
    if (bytes > bytes_ && !budget_->make_room(share, lock, demand, now)) {
        ++share.use.refused;
        return false;
    }
    own = share.holders.find(id_);
    if (own == share.holders.end()) {
        own = share.holders.emplace(id_, memory_budget::held{{id_, 0, now, bool(give_up_)}, give_up_, false})
                  .first;
    }
    share.use.used += bytes - own->second.holder.bytes;
    own->second.holder.bytes = bytes;
    bytes_ = bytes;
    return true;
}

void memory_reservation::progress(core::steady_time now) const {
    if (budget_ == nullptr || bytes_ == 0) {
        return;
    }
    const std::lock_guard lock(budget_->mutex_);
    auto& holders = budget_->shares_.at(index_of(share_)).holders;
    if (const auto own = holders.find(id_); own != holders.end()) {
        own->second.holder.progressed_at = now;
    }
}

void memory_reservation::allow_yield(std::function<bool()> give_up) const {
    give_up_ = std::move(give_up);
    if (budget_ == nullptr || bytes_ == 0) {
        return;
    }
    const std::lock_guard lock(budget_->mutex_);
    auto& holders = budget_->shares_.at(index_of(share_)).holders;
    if (const auto own = holders.find(id_); own != holders.end()) {
        own->second.give_up = give_up_;
        own->second.holder.may_yield = bool(give_up_);
    }
}

void memory_reservation::release() {
    if (budget_ == nullptr) {
        return;
    }
    const std::lock_guard lock(budget_->mutex_);
    auto& share = budget_->shares_.at(index_of(share_));
    if (const auto own = share.holders.find(id_); own != share.holders.end()) {
        share.use.used -= own->second.holder.bytes;
        share.holders.erase(own);
    }
    budget_ = nullptr;
}

} // namespace figspoke::policy
