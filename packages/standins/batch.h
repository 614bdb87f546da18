#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

#include <boost/asio/spawn.hpp>

#include "adapters/wakeup.h"

namespace figspoke::standins {

/// One request in the batch or in its queue.
struct batch_job {
    explicit batch_job(const boost::asio::yield_context& yield) : wake(yield.get_executor()) {}
    int priority = 1;
    bool alone = false;
    std::uint64_t order = 0;
    bool started = false;
    bool lost = false;
    adapters::wakeup wake;
};

using batch_job_ptr = std::shared_ptr<batch_job>;

/// Bounds of the batch.
struct batch_limits {
    int slots = 8;
    int queue_limit = 64;
};

/// The numbers of requests in the batch and in its queue.
struct batch_size {
    int running = 0;
    int waiting = 0;
};

/// The requests that an engine runs at once and the queue before them, by priority and then arrival.
class batch {
  public:
    explicit batch(batch_limits limits);

    /// Joins the batch or its queue. Returns null where the queue is full.
    batch_job_ptr enter(int priority, bool alone, const boost::asio::yield_context& yield);

    /// Waits until the job has a slot. Returns false where its work was lost.
    bool wait_for_start(batch_job& job, const boost::asio::yield_context& yield);

    /// Waits for the duration of a piece of work. Returns false where the work was lost.
    bool work(batch_job& job, std::chrono::milliseconds duration, const boost::asio::yield_context& yield);

    /// Leaves the batch or its queue.
    void leave(const batch_job_ptr& job);

    /// Loses the work of all jobs, as after a crash.
    void lose_all();

    void set_limits(batch_limits limits);

    batch_size size() const;

  private:
    void start_waiting();
    bool may_start(const batch_job& job) const;
    bool has_state(const batch_job& job, bool batch_job::*flag) const;

    mutable std::mutex mutex_;
    batch_limits limits_;
    std::uint64_t next_order_ = 0;
    std::map<std::pair<int, std::uint64_t>, batch_job_ptr> waiting_;
    std::set<batch_job_ptr> running_;
};

} // namespace figspoke::standins
