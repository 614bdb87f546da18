#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// What bytes of callers and upstreams are held for.
enum class memory_share {
    /// Connections of callers with their buffers and heads.
    connections,
    /// Bodies of requests that are read or kept for another send.
    requests,
    /// Answers that are read or that their callers haven't taken yet.
    answers
};
inline constexpr std::size_t memory_share_count = 3;

std::string_view to_string(memory_share share);

/// Bytes for each share.
using memory_limits = std::array<std::size_t, memory_share_count>;

/// Divides the memory of a process. A quarter stays in reserve for the program, its tables and its log.
memory_limits divide_memory(std::size_t bytes);

/// Bytes held on behalf of one caller or upstream.
struct memory_holder {
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    /// When the last step of the transfer was complete.
    core::steady_time progressed_at{};
    /// Whether the bytes may be given up: not those of a request that an upstream may have begun.
    bool may_yield = true;
};

/// A holder that wants more bytes than its share has left.
struct memory_demand {
    std::uint64_t holder = 0;
    /// Bytes that it would hold.
    std::size_t bytes = 0;
    /// Whether a larger holder yields even if it makes progress. Ends bytes that come without end.
    bool larger_yields = false;
};

/// Time without progress after which a holder may have to yield. Covers a lost packet and its retransmission.
inline constexpr core::milliseconds memory_patience{500};

/// Returns the holder that yields to a demand: of those without progress the one with the most bytes times
/// time without progress. Answers the load of clients and upstreams that keep a node's memory by stopping
/// short of the end of what they send, by reading nothing, or by sending without end.
std::optional<std::uint64_t> choose_yielding(const std::vector<memory_holder>& holders,
                                             const memory_demand& demand, core::steady_time now);

class memory_reservation;

/// The bytes that a process may hold for callers and upstreams. Safe for concurrent use.
class memory_budget {
  public:
    explicit memory_budget(const memory_limits& limits);
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Returns an empty reservation. The budget must outlive it.
    memory_reservation open(memory_share share);

    struct share_use {
        std::size_t limit = 0;
        std::size_t used = 0;
        /// Demands that were refused, and holders that had to yield, since the start.
        std::uint64_t refused = 0;
        std::uint64_t yielded = 0;
    };
    share_use use(memory_share share) const;

    /// Lowers the limit of a share.
    void lower_limit(memory_share share, std::size_t bytes);

  private:
    friend class memory_reservation;

    struct held {
        memory_holder holder;
        /// Gives the bytes up soon; returns false to keep them.
        std::function<bool()> give_up;
        bool yielded = false;
    };
    struct share_state {
        share_use use;
        std::map<std::uint64_t, held> holders;
    };

    bool make_room(share_state& share, std::unique_lock<std::mutex>& lock, const memory_demand& demand,
                   core::steady_time now);
    static std::size_t missing_bytes(const share_state& share, const memory_demand& demand);

    mutable std::mutex mutex_;
    std::array<share_state, memory_share_count> shares_;
    std::uint64_t next_id_ = 1;
};

/// Bytes taken from a budget, which are given back when the reservation ends.
class memory_reservation {
  public:
    memory_reservation() = default;
    ~memory_reservation();
    memory_reservation(memory_reservation&& other) noexcept;
    memory_reservation& operator=(memory_reservation&& other) noexcept;
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    /// Takes more bytes or gives some back, so that `bytes` are held. Returns false if there is no room, or
    /// if the holder had to yield. A reservation without a budget holds any number.
    bool resize(std::size_t bytes, core::steady_time now);

    /// Returns the bytes held.
    std::size_t bytes() const { return bytes_; }

    /// Records that a step of the transfer is complete.
    void progress(core::steady_time now) const;

    /// Sets what gives the bytes up when others need them. It is called on the thread of the one who needs
    /// them. Without a function the bytes are kept.
    void allow_yield(std::function<bool()> give_up) const;
    void forbid_yield() const { allow_yield(nullptr); }

  private:
    friend class memory_budget;
    memory_reservation(memory_budget* budget, memory_share share, std::uint64_t id)
        : budget_(budget), share_(share), id_(id) {}

    void release();

    memory_budget* budget_ = nullptr;
    memory_share share_ = memory_share::connections;
    std::uint64_t id_ = 0;
    std::size_t bytes_ = 0;
    /// Kept here until bytes are held.
    mutable std::function<bool()> give_up_;
};

} // namespace figspoke::policy
