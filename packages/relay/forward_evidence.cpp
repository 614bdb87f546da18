#include "relay/forward_run.h"

#include "core/hash.h"
#include "policy/crash_ledger.h"
#include "policy/prefill.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// A request that crashes upstreams does so when they begin to answer, at the latest some tens of milliseconds
// after the head. An answer that has been arriving for longer shows that the request is sound.
constexpr core::milliseconds settling_time{300};

} // namespace

policy::version_counts& forward_run::version_counts_of(const state::upstream_entry& entry) {
    return node_.versions[{entry.service, entry.version}];
}

void forward_run::record_bad_result(const state::upstream_entry& entry) {
    ++version_counts_of(entry).bad;
    const auto found = node_.rollouts.find(entry.service);
    target_failed_ =
        target_failed_ || (found != node_.rollouts.end() && found->second.order.target == entry.version);
}

void forward_run::record_result(const state::upstream_entry& entry, bool good, core::steady_time sent_at) {
    const auto took = core::to_ms(boot_now() - sent_at);
    if (!good) {
        record_upstream_event(node_, entry.id, policy::upstream_event::failed);
        record_bad_result(entry);
        return;
    }
    const bool fast =
        policy::is_fast_answer(node_.usual_first_bytes, {}, route_.name, took, route_.latency_target);
    record_upstream_event(node_, entry.id,
                          fast ? policy::upstream_event::succeeded : policy::upstream_event::succeeded_late);
    policy::learn_usual_time(node_.usual_first_bytes, route_.name, took);
    learn_upstream_speed(entry, took);
    if (!model_.empty()) {
        policy::learn_prefill(node_.prefill, sent_model_, {unshared_tokens(), took, pending_ms_});
    }
    auto& counts = version_counts_of(entry);
    ++counts.good;
    counts.first_byte_ms += std::uint64_t(took.count());
    node_.metrics.observe("relay_first_byte_seconds", {{"service", entry.service}}, took);
}

// Times of prompts are relative to the rate of their model, so that models don't look like upstreams. An
// answer from a moment in which the upstream's machine was busy with other work says nothing of its speed.
void forward_run::learn_upstream_speed(const state::upstream_entry& entry, core::milliseconds took) {
    const auto stated = node_.stated_loads.find(entry.id);
    if (stated != node_.stated_loads.end() && stated->second.statement.work_factor &&
        *stated->second.statement.work_factor > policy::speed_settings{}.max_work_factor) {
        return;
    }
    if (model_.empty()) {
        if (!route_.streaming && choice_.load < entry.slots) {
            record_upstream_speed(node_, entry.id, {policy::speed_measure::prefill, double(took.count())});
        }
        return;
    }
    const auto usual = policy::prefill_ms(node_.prefill, sent_model_, 1);
    const auto measured = policy::prefill_ms_per_token({unshared_tokens(), took, pending_ms_});
    if (measured && usual > 0) {
        record_upstream_speed(node_, entry.id, {policy::speed_measure::prefill, *measured / usual});
    }
}

policy::paced_events forward_run::send_progress() const {
    return {send_events_, core::to_ms(boot_now() - send_first_event_at_), send_load_,
            policy::median_gap_ms(send_gaps_)};
}

std::string forward_run::pace_key(const state::upstream_entry& entry) const {
    return entry.service + '/' + (sent_model_.empty() ? request_.model : sent_model_);
}

// A version that generates slowly may send its first byte as early as any other. Its stream is counted as a
// failure as soon as it shows, since it ends several times later than others.
void forward_run::judge_pace(const state::upstream_entry& entry) {
    if (!send_slow_ && policy::is_slow_stream(node_.paces, {}, pace_key(entry), send_progress())) {
        send_slow_ = true;
        ++version_counts_of(entry).bad;
    }
}

// Streams of a version under roll-out would make its own pace the usual one.
void forward_run::learn_pace(const state::upstream_entry& entry) {
    if (const auto relative = policy::relative_pace(node_.paces, {}, pace_key(entry), send_progress())) {
        record_upstream_speed(node_, entry.id, {policy::speed_measure::generation, *relative});
    }
    const auto found = node_.rollouts.find(entry.service);
    if (found == node_.rollouts.end() || found->second.order.target != entry.version) {
        policy::learn_pace(node_.paces, {}, pace_key(entry), send_progress());
    }
}

policy::request_fingerprints forward_run::make_fingerprints() const {
    const auto request =
        core::stable_hash(exchange_.head().target + '\n' + request_.api_key + '\n' + *exchange_.body());
    std::vector<std::string_view> shared_parts;
    for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i) {
        shared_parts.emplace_back(request_.prompt[i].id);
    }
    return policy::make_fingerprints(request, shared_parts, {});
}

// A trial lasts for one send.
bool forward_run::is_on_trial() const {
    return trial_send_ == history_.sends.size();
}

bool forward_run::is_refused_for_crashes() {
    checked_changes_ = node_.crashes.changes;
    if (is_on_trial() || !policy::is_refused(node_.crashes, {}, *fingerprints_)) {
        return false;
    }
    if (!answer_started_ && begin_crash_trial(node_, *fingerprints_)) {
        trial_send_ = history_.sends.size();
        return false;
    }
    return true;
}

void forward_run::begin_unproven_send() {
    node_.unproven_sends[id_] = {fingerprints_, current_link_, checked_changes_, is_on_trial(), false};
}

bool forward_run::closed_for_crashes() const {
    const auto found = node_.unproven_sends.find(id_);
    return found != node_.unproven_sends.end() && found->second.closed;
}

// The head alone proves nothing: a request that crashes its upstream does so after the head.
bool forward_run::has_settled() const {
    return !send_settled_ && send_events_ > 0 && boot_now() - send_head_at_ >= settling_time;
}

void forward_run::record_sound_request() {
    send_settled_ = true;
    node_.unproven_sends.erase(id_);
    for (const auto fingerprint : *fingerprints_) {
        policy::clear_fingerprint(node_.crashes, fingerprint, boot_now());
    }
}

// A connection that breaks during a request may mean that the request crashed the upstream. The crash counts
// only once the upstream is unreachable, since connections are reset for other reasons too. A request whose
// answer had been arriving for a while isn't the cause.
void forward_run::record_broken_connection(const state::upstream_entry& entry) {
    node_.pool.drop(entry.id);
    node_.log.state("upstream_connection_broke", {{"upstream", entry.id},
                                                  {"request", request_.request_id},
                                                  {"shared_parts", shared_part_ids()},
                                                  {"answer_begun", send_head_after_.has_value()},
                                                  {"events", send_events_}});
    if (!send_settled_) {
        record_possible_crash(entry, false);
        probe_for_crash(node_, entry.id);
    }
}

// Also called for a send that this node ended itself before the answer had settled: the upstream may crash on
// it all the same, a moment later, with other requests.
void forward_run::record_possible_crash(const state::upstream_entry& entry, bool closed_here) {
    policy::record_broken_send(node_.crashes, {}, *fingerprints_, {entry.id, boot_now(), closed_here});
}

} // namespace figspoke::relay
