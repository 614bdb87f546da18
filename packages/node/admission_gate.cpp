#include "node/admission_gate.h"

#include <utility>
#include <vector>

#include "adapters/await.h"

namespace figspoke::node {
namespace {

using notification = std::pair<admission_gate::waiter, std::optional<core::error>>;

// Takes the waiters of the events out of the gate. They are called after the lock is released.
std::vector<notification> take_waiters(admission_gate& gate,
                                       const std::vector<policy::admission_event>& events) {
    std::vector<notification> taken;
    for (const auto& event : events) {
        const auto found = gate.waiters.find(event.id);
        if (found != gate.waiters.end()) {
            taken.emplace_back(std::move(found->second), event.error);
            gate.waiters.erase(found);
        }
    }
    return taken;
}

void notify(std::vector<notification> waiters) {
    for (auto& [waiter, outcome] : waiters) {
        waiter(std::move(outcome));
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
    if (decision.state == policy::admission_state::queued) {
        gate.waiters.emplace(request.id, std::move(waiter));
    } else {
        due.emplace_back(std::move(waiter), decision.error);
    }
    return due;
}

void finish_request(admission_gate& gate, std::uint64_t id) {
    std::vector<notification> due;
    {
        const std::lock_guard lock(gate.mutex);
        const auto now = std::chrono::steady_clock::now();
        policy::finish(gate.queue, id, now);
        due = take_waiters(gate, policy::next(gate.queue, now));
    }
    notify(std::move(due));
}

} // namespace

admission_slot::~admission_slot() {
    free();
}

admission_slot::admission_slot(admission_slot&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr)), id_(other.id_) {}

admission_slot& admission_slot::operator=(admission_slot&& other) noexcept {
    if (this != &other) {
        free();
        gate_ = std::exchange(other.gate_, nullptr);
        id_ = other.id_;
    }
    return *this;
}

void admission_slot::free() {
    if (gate_ != nullptr) {
        finish_request(*std::exchange(gate_, nullptr), id_);
    }
}

core::result<admission_slot> await_admission(admission_gate& gate, policy::admission_request request,
                                             const boost::asio::yield_context& yield) {
    {
        const std::lock_guard lock(gate.mutex);
        request.id = gate.next_id++;
    }
    const auto refused = adapters::await_value<std::optional<core::error>>(
        yield, [&](admission_gate::waiter done) { notify(submit_request(gate, request, std::move(done))); });
    if (refused) {
        return tl::make_unexpected(*refused);
    }
    return admission_slot(gate, request.id);
}

void update_admission(admission_gate& gate, double capacity, core::steady_time now) {
    std::vector<notification> due;
    {
        const std::lock_guard lock(gate.mutex);
        policy::set_capacity(gate.queue, capacity, now);
        due = take_waiters(gate, policy::next(gate.queue, now));
    }
    notify(std::move(due));
}

} // namespace figspoke::node
