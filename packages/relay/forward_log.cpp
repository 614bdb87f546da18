#include "relay/forward_run.h"

#include "relay/boot_clock.h"

namespace figspoke::relay {

// Returns the ids of the parts of the prompt that other requests may share.
std::string forward_run::shared_part_ids() const {
    std::string ids;
    for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i) {
        ids += (i == 0 ? "" : ",") + request_.prompt[i].id;
    }
    return ids;
}

void forward_run::log_send(const state::upstream_entry& entry, core::steady_time sent_at) {
    const auto& last = history_.sends.empty() ? policy::send_record{} : history_.sends.back();
    send_log_.push_back({{"upstream", entry.id},
                         {"version", entry.version},
                         {"model", sent_model_},
                         {"reason", policy::to_string(choice_.reason)},
                         {"load", choice_.load},
                         {"expected_ms", std::int64_t(choice_.pending_ms + choice_.own_prefill_ms)},
                         {"result", policy::to_string(last.result)},
                         {"head_ms", send_head_after_ ? send_head_after_->count() : -1},
                         {"events", send_events_},
                         {"slow", send_slow_},
                         {"ms", core::to_ms(boot_now() - sent_at).count()}});
    if (send_confidence_) {
        send_log_.back()["confidence"] = *send_confidence_;
    }
}

// What this node knew of the request's conversation when it chose a version.
nlohmann::json forward_run::session_log() const {
    nlohmann::json line = {{"id", std::to_string(session_)}, {"bucket", session_bucket_}};
    if (seen_pin_) {
        line["pin"] = seen_pin_->on_target ? "target" : "old";
        line["pin_age_ms"] = core::to_ms(seen_pin_at_ - seen_pin_->last_seen).count();
    }
    return line;
}

void forward_run::write_log() {
    const auto total = core::to_ms(boot_now() - arrived_);
    nlohmann::json line = {{"event", "request"},
                           {"id", request_.request_id},
                           {"route", route_.name},
                           {"account", account_},
                           {"rank", rank_},
                           {"status", status_},
                           {"end", end_},
                           {"config", config_version_},
                           {"config_age_ms", core::to_ms(config_age_).count()},
                           {"queued_ms", queued_ms_},
                           {"first_byte_ms", first_byte_ms_},
                           {"total_ms", total.count()},
                           {"sends", std::move(send_log_)}};
    if (!sent_model_.empty()) {
        line["prompt_tokens"] = prompt_tokens();
        line["wanted_tokens"] = estimated_tokens() - prompt_tokens();
    }
    if (confidence_) {
        line["confidence"] = *confidence_;
        line["expected_larger_ms"] = expected_larger_ms_;
    }
    if (request_.prompt.size() > 1) {
        line["shared_parts"] = shared_part_ids();
    }
    if (session_ != 0) {
        line["session"] = session_log();
    }
    if (!last_failure_.empty()) {
        line["failure"] = last_failure_;
    }
    node_.log.request(line);
    node_.metrics.add("relay_requests_total", {{"status", std::to_string(status_)}});
    node_.metrics.observe("relay_request_seconds", {}, total);
}

} // namespace figspoke::relay
