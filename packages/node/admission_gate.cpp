#include "node/admission_gate.h"

#include <utility>
#include <vector>

#include "adapters/await.h"

namespace figspoke::node {
namespace {

using notification = std::pair<admission_gate::waiter, std::optional<core::error>>;

void request_pause(admission_gate& gate, std::uint64_t id) {
    const auto found = gate.pausable.find(id);
    if (found != gate.pausable.end()) {
        found->second->store(true);
    }
}

// Takes the waiters of the events out of the gate. They are called after the lock is released.
std::vector<notification> take_waiters(admission_gate& gate,
                                       const std::vector<policy::admission_event>& events) {
    std::vector<notification> taken;
    for (const auto& event : events) {
        if (event.action == policy::admission_action::pause) {
            request_pause(gate, event.id);
            continue;
        }
        const auto found = gate.waiters.find(event.id);
        if (found != gate.waiters.end()) {
            taken.emplace_back(std::move(found->second), event.error);
            gate.waiters.erase(found);
        } else if (gate.pausable.count(event.id) > 0) {
            gate.early[event.id] = event.error;
        }
    }
    return taken;
}

void notify(const std::vector<notification>& waiters) {
    for (const auto& [waiter, outcome] : waiters) {
        waiter(outcome);
    }
}

// Submits the request under the lock and keeps the waiter where it is queued. Returns whom to notify.
std::vector<notification> submit_request(admission_gate& gate, const policy::admission_request& request,
                                         admission_gate::waiter waiter) {
    const std::lock_guard lock(gate.mutex);
    const auto decision = policy::submit(gate.queue, request, std::chrono::steady_clock::now());
    std::vector<notification> due;
    if (decision.displaced) {
        due = take_waiters(gate, {*decision.displaced});
    }
    if (decision.state != policy::admission_state::queued) {
        due.emplace_back(std::move(waiter), decision.error);
        return due;
    }
    gate.waiters.emplace(request.id, std::move(waiter));
    for (auto& other : take_waiters(gate, policy::dispatch(gate.queue, std::chrono::steady_clock::now()))) {
        due.push_back(std::move(other));
    }
    return due;
}

// Waits for the decision on a paused request, which may have been made before its run stopped.
std::vector<notification> wait_for_resume(admission_gate& gate, std::uint64_t id,
                                          admission_gate::waiter waiter) {
    const std::lock_guard lock(gate.mutex);
    const auto early = gate.early.find(id);
    if (early == gate.early.end()) {
        gate.waiters.emplace(id, std::move(waiter));
        return {};
    }
    std::vector<notification> due;
    due.emplace_back(std::move(waiter), early->second);
    gate.early.erase(early);
    return due;
}

std::shared_ptr<std::atomic<bool>> add_pausable(admission_gate& gate, std::uint64_t id) {
    const std::lock_guard lock(gate.mutex);
    return gate.pausable.emplace(id, std::make_shared<std::atomic<bool>>(false)).first->second;
}

void finish_request(admission_gate& gate, std::uint64_t id) {
    std::vector<notification> due;
    {
        const std::lock_guard lock(gate.mutex);
        const auto now = std::chrono::steady_clock::now();
        // A request that ends while it is paused waits in the queue.
        if (!policy::finish(gate.queue, id, now)) {
            policy::cancel(gate.queue, id, now);
        }
        gate.pausable.erase(id);
        gate.early.erase(id);
        due = take_waiters(gate, policy::dispatch(gate.queue, now));
    }
    notify(due);
}

} // namespace

admission_slot::~admission_slot() {
    free();
}

admission_slot::admission_slot(admission_slot&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr)), id_(other.id_), paused_(std::move(other.paused_)) {}

admission_slot& admission_slot::operator=(admission_slot&& other) noexcept {
    if (this != &other) {
        free();
        gate_ = std::exchange(other.gate_, nullptr);
        id_ = other.id_;
        paused_ = std::move(other.paused_);
    }
    return *this;
}

void admission_slot::free() {
    if (gate_ != nullptr) {
        finish_request(*std::exchange(gate_, nullptr), id_);
    }
}

core::result<void> admission_slot::await_resume(const boost::asio::yield_context& yield) {
    const auto refused =
        adapters::await_value<std::optional<core::error>>(yield, [this](admission_gate::waiter done) {
            notify(wait_for_resume(*gate_, id_, std::move(done)));
        });
    if (refused) {
        return tl::make_unexpected(*refused);
    }
    paused_->store(false);
    return {};
}

core::result<admission_slot> await_admission(admission_gate& gate, policy::admission_request request,
                                             const boost::asio::yield_context& yield) {
    {
        const std::lock_guard lock(gate.mutex);
        request.id = gate.next_id++;
    }
    std::shared_ptr<std::atomic<bool>> paused;
    if (request.pausable) {
        paused = add_pausable(gate, request.id);
    }
    const auto refused = adapters::await_value<std::optional<core::error>>(
        yield, [&](admission_gate::waiter done) { notify(submit_request(gate, request, std::move(done))); });
    admission_slot slot(gate, request.id, std::move(paused));
    if (refused) {
        return tl::make_unexpected(*refused);
    }
    return slot;
}

void update_admission(admission_gate& gate, const policy::admission_settings& settings, double capacity,
                      core::steady_time now) {
    std::vector<notification> due;
    {
        const std::lock_guard lock(gate.mutex);
        gate.queue.settings = settings;
        policy::set_capacity(gate.queue, capacity, now);
        due = take_waiters(gate, policy::dispatch(gate.queue, now));
    }
    notify(due);
}

} // namespace figspoke::node
