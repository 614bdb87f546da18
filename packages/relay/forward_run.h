#pragma once

#include <nlohmann/json.hpp>

#include "policy/relay_outcome.h"
#include "relay/caller_connection.h"
#include "relay/candidates.h"
#include "relay/event_splitter.h"
#include "relay/relay_state.h"
#include "relay/send_attempt.h"
#include "relay/use_guard.h"

namespace figspoke::relay {

/// One request of a caller on its way through the relay. Lives on the coroutine of the caller's connection;
/// its members are defined in the forward_*.cpp files, one for each step.
class forward_run {
  public:
    forward_run(relay_state& node, caller_exchange& exchange);

    /// Serves the request to its end.
    void run();

  private:
    /// What one attempt leads to.
    enum class next_step { finished, again };

    // The loop over attempts.
    void attempt_until_done();
    std::optional<policy::end_cause> reason_to_stop();
    core::milliseconds time_left() const;

    // Admission: what the request may do, by the present configuration.
    std::optional<core::error> admit();
    std::optional<core::error> resolve();
    static core::error missing(bool current, core::error_kind kind, const std::string& what);
    void set_deadline();
    std::string first_model() const;

    // Choice of an upstream, and waiting for room.
    upstream_need need_of(bool target_version) const;
    upstream_need any_version_need() const;
    void place_session();
    bool wants_target_version() const;
    void note_session(const state::upstream_entry& entry);
    std::vector<policy::prompt_step> shared_steps() const;
    std::uint64_t prefix_of(const std::vector<policy::prompt_step>& shared) const;
    policy::relay_choice choose();
    std::optional<state::upstream_entry> wait_for_upstream();
    policy::repeat_budget_settings budget_settings() const;
    std::optional<state::upstream_entry> wait_in_queue();
    core::milliseconds longest_wait() const;
    std::optional<state::upstream_entry> entry_of(const std::string& id) const;
    double own_part() const;
    std::int64_t prompt_tokens() const;
    std::int64_t own_tokens() const;

    // One send and its answer.
    bool attempts_remain() const;
    core::milliseconds silence_limit() const;
    attempt_plan plan_for(const state::upstream_entry& entry);
    next_step send_to(const state::upstream_entry& entry);
    void begin_stream_watch(const state::upstream_entry& entry, double expected_ms);
    void note_bytes(const state::upstream_entry& entry);
    next_step take_answer(const state::upstream_entry& entry, begun_answer& answer,
                          core::steady_time sent_at);
    next_step take_refusal(const state::upstream_entry& entry, begun_answer& answer);
    bool drop_for_larger_model(const answer_head& head);
    next_step pass_whole(const state::upstream_entry& entry, begun_answer& answer, core::steady_time sent_at);
    bool can_repeat_failure() const;
    next_step pass_stream(const state::upstream_entry& entry, begun_answer& answer,
                          core::steady_time sent_at);
    next_step abandon_stream(const state::upstream_entry& entry, begun_answer& answer);
    std::string whole_events(event_splitter& splitter, std::string_view piece);
    bool write_piece(const begun_answer& answer, const std::string& bytes);
    bool begin_answer(const begun_answer& answer);
    next_step end_stream(const state::upstream_entry& entry, begun_answer& answer, event_splitter& splitter);
    next_step fail_send(const state::upstream_entry& entry, const attempt_failure& failure);

    // What the outcome says about upstreams, versions and the request.
    policy::version_counts& counts_of(const state::upstream_entry& entry);
    void note_bad(const state::upstream_entry& entry);
    void record(const state::upstream_entry& entry, bool good, core::steady_time sent_at);
    void note_broken(const state::upstream_entry& entry);
    void confirm_crash(const state::upstream_entry& entry);

    // Ends.
    void leave();
    void deliver(const caller_answer& answer);
    void finish_without_upstream();
    void finish_failed(policy::end_cause cause);
    core::milliseconds retry_pause();
    void finish_with(const core::error& error, const std::string& end);

    // Log.
    void log_send(const state::upstream_entry& entry, core::steady_time sent_at);
    void write_log();

    relay_state& node_;
    caller_exchange& exchange_;
    core::steady_time arrived_;
    std::uint64_t id_;
    caller_request request_;
    state::relay_route route_;
    std::string account_;
    std::string service_;
    int rank_ = 0;
    core::steady_time deadline_{};
    std::uint64_t config_version_ = 0;
    core::nanoseconds config_age_{0};
    std::uint64_t fingerprint_ = 0;
    std::uint64_t session_ = 0;
    double session_place_ = 0;
    double service_draw_ = 0;
    bool counted_ = false;
    use_guard* use_ = nullptr;
    double pending_ms_ = 0;
    std::optional<int> confidence_;
    std::int64_t expected_larger_ms_ = 0;
    std::string model_;
    /// Model of the send under way; `model_` may already name the next one.
    std::string sent_model_;
    policy::send_history history_;
    policy::relay_choice choice_;
    int unsent_tries_ = 0;
    bool target_failed_ = false;
    upstream_link_ptr current_;
    std::optional<std::uint64_t> last_event_;
    bool begun_ = false;
    std::optional<caller_answer> fallback_;
    std::string last_failure_;
    std::string end_;
    int status_ = 0;
    std::int64_t queued_ms_ = 0;
    std::int64_t first_byte_ms_ = 0;
    nlohmann::json sends_ = nlohmann::json::array();
};

} // namespace figspoke::relay
