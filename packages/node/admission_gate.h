#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include <boost/asio/spawn.hpp>

#include "core/error.h"
#include "core/time.h"
#include "policy/admission_queue.h"

namespace figspoke::node {

/// The admission queue of this node with the coroutines that wait in it.
struct admission_gate {
    using waiter = std::function<void(std::optional<core::error>)>;

    std::mutex mutex;
    policy::admission_queue queue;
    std::unordered_map<std::uint64_t, waiter> waiters;
    /// Requests that run and may be paused, with the flag that their run watches.
    std::unordered_map<std::uint64_t, std::shared_ptr<std::atomic<bool>>> pausable;
    /// Decisions on paused requests whose run has not stopped yet.
    std::unordered_map<std::uint64_t, std::optional<core::error>> early;
    std::uint64_t next_id = 1;
};

/// The slot of an admitted request; freed at the end of its scope.
class admission_slot {
  public:
    admission_slot() = default;
    admission_slot(admission_gate& gate, std::uint64_t id, std::shared_ptr<std::atomic<bool>> paused)
        : gate_(&gate), id_(id), paused_(std::move(paused)) {}
    ~admission_slot();
    admission_slot(admission_slot&& other) noexcept;
    admission_slot& operator=(admission_slot&& other) noexcept;

    /// Tells whether the request must stop and call `await_resume`: its slot is given to another.
    bool is_paused() const { return paused_ && paused_->load(); }

    /// Waits until a paused request has a slot again. Fails as `await_admission` does.
    core::result<void> await_resume(const boost::asio::yield_context& yield);

  private:
    void free();

    admission_gate* gate_ = nullptr;
    std::uint64_t id_ = 0;
    std::shared_ptr<std::atomic<bool>> paused_;
};

/// Waits until the request is admitted. Fails with `overloaded` or `deadline_unreachable`; nothing ran then.
core::result<admission_slot> await_admission(admission_gate& gate, policy::admission_request request,
                                             const boost::asio::yield_context& yield);

/// Sets the slots that this node may fill and the queue's settings, and starts or refuses waiting requests.
/// Call it at least every 50 ms.
void update_admission(admission_gate& gate, const policy::admission_settings& settings, double capacity,
                      core::steady_time now);

} // namespace figspoke::node
