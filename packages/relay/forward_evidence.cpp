#include "relay/forward_run.h"

#include "policy/crash_ledger.h"
#include "policy/prefill.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {

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
    record_upstream_event(node_, entry.id,
                          good ? policy::upstream_event::succeeded : policy::upstream_event::failed);
    if (!good) {
        record_bad_result(entry);
        return;
    }
    policy::clear_fingerprint(node_.crashes, fingerprint_, boot_now());
    const auto took = core::to_ms(boot_now() - sent_at);
    if (!model_.empty()) {
        policy::learn_prefill(node_.prefill, sent_model_, {unshared_tokens(), took, pending_ms_});
    }
    auto& counts = version_counts_of(entry);
    ++counts.good;
    counts.first_byte_ms += std::uint64_t(took.count());
    node_.metrics.observe("relay_first_byte_seconds", {{"service", entry.service}}, took);
}

// A connection that breaks during a request may mean that the request crashed the upstream. The crash counts
// only once the upstream is unreachable, since connections are reset for other reasons too.
void forward_run::record_broken_connection(const state::upstream_entry& entry) {
    node_.pool.drop(entry.id);
    node_.log.state("upstream_connection_broke", {{"upstream", entry.id},
                                                  {"request", request_.request_id},
                                                  {"shared_parts", shared_part_ids()},
                                                  {"answer_begun", send_head_after_.has_value()},
                                                  {"events", send_events_}});
    policy::record_unconfirmed_crash(node_.crashes, {}, {fingerprint_, entry.id, boot_now()});
}

void forward_run::confirm_crash(const state::upstream_entry& entry) {
    for (const auto fingerprint : policy::confirm_crash(node_.crashes, {}, entry.id, boot_now())) {
        node_.log.state("requests_refused_for_crashes",
                        {{"fingerprint", fingerprint}, {"upstream", entry.id}});
    }
}

} // namespace figspoke::relay
