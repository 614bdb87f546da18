#include "relay/rollouts.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/erase_where.h"
#include "policy/rollout_plan.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

using nlohmann::json;

// Delay after a failed call to the store.
constexpr core::milliseconds store_retry_delay{700};
// How long the roll-out of a replaced or removed order is remembered; longer than the age of a copy of the
// store.
constexpr core::milliseconds past_rollout_lifetime{60000};
constexpr std::size_t max_past_rollouts = 64;

std::uint64_t order_number(const rollout_progress& progress) {
    return state::pack_position(progress.order.position);
}

policy::version_counts counts_since_start(const rollout_progress& progress, const policy::version_key& key,
                                          const policy::version_counts& now) {
    const auto found = progress.counts_at_start.find(key);
    if (found == progress.counts_at_start.end()) {
        return now;
    }
    const auto& start = found->second;
    const auto difference = [](std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; };
    return {difference(now.sent, start.sent), difference(now.good, start.good),
            difference(now.bad, start.bad), difference(now.first_byte_ms, start.first_byte_ms)};
}

// A process that sends no report for this long is taken to have ended.
core::milliseconds report_lifetime(const relay_state& node) {
    return fleet_timeouts.suspect + node.peers->propagation_time();
}

int local_requests_on_old(const relay_state& node, const rollout_progress& progress) {
    int requests = 0;
    for (const auto& [id, use] : node.uses) {
        const auto found = node.registry.upstreams.find(id);
        const bool old = found != node.registry.upstreams.end() &&
                         found->second.entry.service == progress.order.service &&
                         found->second.entry.version != progress.order.target;
        requests += old ? use.requests : 0;
    }
    return requests;
}

// The time since boot is the sequence number, since it increases with each report of a process.
void refresh_own_report(const relay_state& node, rollout_progress& progress) {
    const auto now = boot_now();
    policy::trial_report report;
    report.node = node.settings.node_id;
    report.incarnation = node.peers->incarnation();
    report.sequence = std::uint64_t(now.time_since_epoch().count());
    for (const auto& [key, counts] : node.versions) {
        if (key.first == progress.order.service) {
            auto& side = key.second == progress.order.target ? report.target : report.old;
            policy::add_counts(side, counts_since_start(progress, key, counts));
        }
    }
    report.running_on_old = local_requests_on_old(node, progress);
    policy::merge_report(progress.evidence, report, core::milliseconds(0), now);
}

policy::trial_totals totals_of(const relay_state& node, const rollout_progress& progress) {
    return policy::sum_reports(progress.evidence, report_lifetime(node), boot_now());
}

policy::rollout_evaluation evaluate(const relay_state& node, rollout_progress& progress) {
    refresh_own_report(node, progress);
    const auto totals = totals_of(node, progress);
    policy::update_trend(progress.trend, totals.target, totals.old, {});
    return policy::evaluate_version(totals.target, totals.old, {}, progress.trend);
}

policy::rollout_timing timing_of(const rollout_progress& progress) {
    return {boot_now() - progress.started_at, progress.order.duration};
}

bool is_final(const rollout_progress& progress) {
    return progress.status.state != rollout_state::in_progress;
}

void stop_version(relay_state& node, rollout_progress& progress, const std::string& cause) {
    if (progress.stopped) {
        return;
    }
    progress.stopped = true;
    progress.share = 0;
    node.log.state("version_stopped", {{"service", progress.order.service},
                                       {"version", progress.order.target},
                                       {"order", order_number(progress)},
                                       {"cause", cause}});
}

void begin_rollout(relay_state& node, const rollout_order& order) {
    rollout_progress progress;
    progress.order = order;
    progress.started_at = boot_now();
    progress.counts_at_start = node.versions;
    node.log.state("rollout_begun", {{"service", order.service},
                                     {"version", order.target},
                                     {"order", order_number(progress)},
                                     {"duration_s", order.duration.count()}});
    node.rollouts[order.service] = std::move(progress);
}

void remember_rollout(relay_state& node, rollout_progress progress) {
    if (node.past_rollouts.size() >= max_past_rollouts) {
        node.past_rollouts.erase(node.past_rollouts.begin());
    }
    node.past_rollouts.push_back({std::move(progress), boot_now()});
}

// The store may have lost the status, and what it has may be older than what this node knows.
void continue_rollout(relay_state& node, rollout_progress progress, const rollout_order& order) {
    const auto previous = order_number(progress);
    progress.order = order;
    progress.status_read = false;
    progress.written = false;
    progress.write_due_since.reset();
    node.log.state("rollout_continued", {{"service", order.service},
                                         {"version", order.target},
                                         {"order", order_number(progress)},
                                         {"previous", previous},
                                         {"state", static_cast<int>(progress.status.state)},
                                         {"stopped", progress.stopped}});
    node.rollouts[order.service] = std::move(progress);
}

// Continues the latest past roll-out of the same order.
bool continue_past_rollout(relay_state& node, const rollout_order& order) {
    for (auto it = node.past_rollouts.rbegin(); it != node.past_rollouts.rend(); ++it) {
        if (it->progress.order.service == order.service &&
            policy::compare_orders(it->progress.order, order) == policy::order_change::continued) {
            auto progress = std::move(it->progress);
            node.past_rollouts.erase(std::next(it).base());
            continue_rollout(node, std::move(progress), order);
            return true;
        }
    }
    return false;
}

void apply_order(relay_state& node, const rollout_order& order) {
    const auto found = node.rollouts.find(order.service);
    if (found != node.rollouts.end()) {
        const auto change = policy::compare_orders(found->second.order, order);
        if (change == policy::order_change::none) {
            return;
        }
        auto known = std::move(found->second);
        node.rollouts.erase(found);
        if (change == policy::order_change::continued) {
            continue_rollout(node, std::move(known), order);
            return;
        }
        remember_rollout(node, std::move(known));
    }
    if (!continue_past_rollout(node, order)) {
        begin_rollout(node, order);
    }
}

void expire_past_rollouts(relay_state& node, const state::store_era& era) {
    const auto now = boot_now();
    auto& past = node.past_rollouts;
    if (node.rollout_era < era) {
        for (auto& one : past) {
            one.ended_at = now;
        }
    }
    past.erase(
        std::remove_if(past.begin(), past.end(),
                       [&](const past_rollout& one) { return now - one.ended_at > past_rollout_lifetime; }),
        past.end());
}

void adopt_status(relay_state& node, rollout_progress& progress, const rollout_status& status) {
    progress.status.revision = status.revision;
    if (!policy::belongs_to(status.order, progress.order)) {
        return;
    }
    progress.started_at = std::min(progress.started_at, boot_now() - status.elapsed);
    if (!is_final(progress)) {
        if (status.state == rollout_state::reverted) {
            stop_version(node, progress, "the store says that it was reverted");
        }
        progress.status.state = status.state;
        progress.share = status.state == rollout_state::completed ? 1.0 : progress.share;
    }
    progress.written = status.state == progress.status.state && is_final(progress) &&
                       policy::names_position(status.order, progress.order);
}

// Other coroutines may remove or replace a roll-out during a call, so it is looked up again after each call.
rollout_progress* find_progress(relay_state& node, const std::string& service, std::uint64_t order) {
    const auto found = node.rollouts.find(service);
    return found != node.rollouts.end() && order_number(found->second) == order ? &found->second : nullptr;
}

std::optional<rollout_state> state_to_write(const relay_state& node, const rollout_progress& progress) {
    if (is_final(progress)) {
        return progress.written ? std::nullopt : std::make_optional(progress.status.state);
    }
    if (progress.stopped) {
        return rollout_state::reverted;
    }
    const auto at_full =
        progress.full_share_since ? boot_now() - *progress.full_share_since : core::nanoseconds(0);
    const auto running = totals_of(node, progress).running_on_old;
    if (policy::may_complete(timing_of(progress), progress.verdict, at_full, running, {})) {
        return rollout_state::completed;
    }
    return progress.written ? std::nullopt : std::make_optional(rollout_state::in_progress);
}

// The first live member writes. The next ones try one after the other, since the store may refuse single
// nodes. The condition on the revision rejects late writes.
bool may_write_now(relay_state& node, rollout_progress& progress, bool is_due) {
    if (!is_due) {
        progress.write_due_since.reset();
        return false;
    }
    const auto now = boot_now();
    progress.write_due_since = progress.write_due_since.value_or(now);
    return policy::may_write_state(now - *progress.write_due_since, node.peers->rank());
}

void write_state(relay_state& node, rollout_progress& progress, rollout_state new_state,
                 const boost::asio::yield_context& yield) {
    const auto service = progress.order.service;
    const auto order = order_number(progress);
    if (!progress.status_read) {
        const auto status = node.platform.read_rollout_status(service, yield);
        auto* current = find_progress(node, service, order);
        if (current == nullptr || !status) {
            if (current != nullptr) {
                current->retry_at = boot_now() + store_retry_delay;
            }
            return;
        }
        current->status_read = true;
        adopt_status(node, *current, *status);
        return;
    }
    rollout_status next = progress.status;
    next.state = new_state;
    next.order = {progress.order.target, progress.order.position.revision, progress.order.position.era};
    next.elapsed = core::to_ms(boot_now() - progress.started_at);
    const auto written = node.platform.write_rollout_status(service, next, yield);
    auto* current = find_progress(node, service, order);
    if (current == nullptr) {
        return;
    }
    if (!written) {
        // A conflict means that another node wrote; after a lost reply, reading the status shows whether the
        // write took effect.
        current->status_read = false;
        current->retry_at = boot_now() + store_retry_delay;
        node.log.state("rollout_write_failed",
                       {{"service", service}, {"order", order}, {"cause", written.error().message}});
        return;
    }
    current->status = next;
    current->status.revision = *written;
    current->written = true;
    node.log.state("rollout_written", {{"service", service},
                                       {"order", order},
                                       {"state", static_cast<int>(new_state)},
                                       {"elapsed_ms", next.elapsed.count()}});
}

} // namespace

void update_rollout_orders(relay_state& node, const std::vector<rollout_order>& orders,
                           const state::store_era& era) {
    expire_past_rollouts(node, era);
    node.rollout_era = era;
    std::map<std::string, const rollout_order*> by_service;
    for (const auto& order : orders) {
        by_service[order.service] = &order;
    }
    core::erase_where(node.rollouts, [&](rollout_progress& progress, const std::string& service) {
        const bool removed = by_service.count(service) == 0;
        if (removed) {
            remember_rollout(node, std::move(progress));
        }
        return removed;
    });
    for (const auto& [service, order] : by_service) {
        apply_order(node, *order);
    }
}

void merge_rollout_record(relay_state& node, const rollout_record& record) {
    auto* progress = find_progress(node, record.service, record.order);
    if (progress == nullptr) {
        return;
    }
    progress->started_at = std::min(progress->started_at, boot_now() - record.elapsed);
    if (record.stopped) {
        stop_version(node, *progress, "a peer stopped it");
    }
    if (record.state != rollout_state::in_progress && !is_final(*progress)) {
        progress->status.state = record.state;
        progress->share = record.state == rollout_state::completed ? 1.0 : 0.0;
    }
    progress->written = progress->written || record.written;
}

std::vector<rollout_record> rollout_records(const relay_state& node) {
    std::vector<rollout_record> records;
    for (const auto& [service, progress] : node.rollouts) {
        records.push_back({service, order_number(progress), progress.status.state, progress.stopped,
                           progress.written, core::to_ms(boot_now() - progress.started_at)});
    }
    return records;
}

void merge_trial_records(relay_state& node, const std::vector<trial_record>& records) {
    for (const auto& record : records) {
        if (auto* progress = find_progress(node, record.service, record.order)) {
            policy::merge_report(progress->evidence, record.report, record.age, boot_now());
        }
    }
}

std::vector<trial_record> trial_records(const relay_state& node, core::milliseconds lifetime) {
    std::vector<trial_record> records;
    const auto now = boot_now();
    for (const auto& [service, progress] : node.rollouts) {
        for (const auto& [process, received] : progress.evidence.reports) {
            if (!is_final(progress) && now - received.created_at <= lifetime) {
                records.push_back({service, order_number(progress), received.report,
                                   core::to_ms(now - received.created_at)});
            }
        }
    }
    return records;
}

void update_rollouts(relay_state& node) {
    for (auto& [service, progress] : node.rollouts) {
        if (is_final(progress) || progress.stopped) {
            continue;
        }
        const auto evaluation = evaluate(node, progress);
        if (evaluation.verdict == policy::rollout_verdict::bad) {
            stop_version(node, progress,
                         "failures, ratio " + std::to_string(evaluation.log_likelihood_ratio) + ", trend " +
                             std::to_string(progress.trend.sum) + ", slowdown " +
                             std::to_string(evaluation.slowdown));
            node.peers->announce();
            continue;
        }
        progress.verdict = evaluation.verdict;
        const double share = policy::planned_share(timing_of(progress), evaluation.verdict,
                                                   node.settings.bounds.exposure_share, {});
        if (share != progress.share) {
            node.log.state("rollout_share", {{"service", service},
                                             {"version", progress.order.target},
                                             {"order", order_number(progress)},
                                             {"share", share},
                                             {"verdict", policy::to_string(evaluation.verdict)},
                                             {"ratio", evaluation.log_likelihood_ratio},
                                             {"slowdown", evaluation.slowdown}});
        }
        progress.share = share;
        if (share < 1) {
            progress.full_share_since.reset();
        } else if (!progress.full_share_since) {
            progress.full_share_since = boot_now();
        }
    }
}

void write_rollout_states(relay_state& node, const boost::asio::yield_context& yield) {
    if (node.stop) {
        return;
    }
    std::vector<std::pair<std::string, std::uint64_t>> open;
    for (const auto& [service, progress] : node.rollouts) {
        const bool is_done = is_final(progress) && progress.written;
        const bool is_placed = progress.order.position.revision > 0;
        if (!is_done && is_placed && progress.retry_at <= boot_now()) {
            open.emplace_back(service, order_number(progress));
        }
    }
    for (const auto& [service, order] : open) {
        auto* progress = find_progress(node, service, order);
        if (progress == nullptr) {
            continue;
        }
        const auto new_state = state_to_write(node, *progress);
        if (may_write_now(node, *progress, new_state.has_value())) {
            write_state(node, *progress, *new_state, yield);
        }
    }
}

} // namespace figspoke::relay
