#include "standins/batch.h"

#include <algorithm>

namespace figspoke::standins {

namespace {

core::steady_time now() {
    return std::chrono::steady_clock::now();
}

} // namespace

batch::batch(batch_limits limits) : limits_(limits) {}

batch_job_ptr batch::enter(int priority, bool alone, const boost::asio::yield_context& yield) {
    auto job = std::make_shared<batch_job>(yield);
    const std::lock_guard lock(mutex_);
    job->priority = priority;
    job->alone = alone;
    job->order = next_order_++;
    const bool at_once = waiting_.empty() && may_start(*job);
    if (!at_once && static_cast<int>(waiting_.size()) >= limits_.queue_limit) {
        return nullptr;
    }
    waiting_.emplace(std::pair{priority, job->order}, job);
    start_waiting();
    return job;
}

bool batch::wait_for_start(batch_job& job, const boost::asio::yield_context& yield) {
    while (!has_state(job, &batch_job::started)) {
        if (has_state(job, &batch_job::lost)) {
            return false;
        }
        job.wake.wait_until(now() + std::chrono::hours(1), yield);
    }
    return !has_state(job, &batch_job::lost);
}

bool batch::work(batch_job& job, std::chrono::milliseconds duration,
                 const boost::asio::yield_context& yield) {
    const auto deadline = now() + duration;
    while (!has_state(job, &batch_job::lost)) {
        if (now() >= deadline) {
            return true;
        }
        job.wake.wait_until(deadline, yield);
    }
    return false;
}

void batch::leave(const batch_job_ptr& job) {
    const std::lock_guard lock(mutex_);
    waiting_.erase({job->priority, job->order});
    running_.erase(job);
    start_waiting();
}

void batch::lose_all() {
    const std::lock_guard lock(mutex_);
    for (const auto& [order, job] : waiting_) {
        job->lost = true;
        job->wake.signal();
    }
    for (const auto& job : running_) {
        job->lost = true;
        job->wake.signal();
    }
    waiting_.clear();
    running_.clear();
}

void batch::set_limits(batch_limits limits) {
    const std::lock_guard lock(mutex_);
    limits_ = limits;
    start_waiting();
}

batch_size batch::size() const {
    const std::lock_guard lock(mutex_);
    return {static_cast<int>(running_.size()), static_cast<int>(waiting_.size())};
}

// A job that must run alone and is first in the queue holds back those behind it, or it would never run.
void batch::start_waiting() {
    while (!waiting_.empty() && may_start(*waiting_.begin()->second)) {
        const auto job = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        running_.insert(job);
        job->started = true;
        job->wake.signal();
    }
}

bool batch::may_start(const batch_job& job) const {
    const bool alone_runs =
        std::any_of(running_.begin(), running_.end(), [](const auto& other) { return other->alone; });
    if (job.alone) {
        return running_.empty() && limits_.slots > 0;
    }
    return !alone_runs && static_cast<int>(running_.size()) < limits_.slots;
}

bool batch::has_state(const batch_job& job, bool batch_job::*flag) const {
    const std::lock_guard lock(mutex_);
    return job.*flag;
}

} // namespace figspoke::standins
