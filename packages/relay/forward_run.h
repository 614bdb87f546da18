#pragma once

#include <nlohmann/json.hpp>

#include "adapters/wakeup.h"
#include "policy/answer_progress.h"
#include "policy/relay_outcome.h"
#include "policy/send_move.h"
#include "relay/caller_connection.h"
#include "relay/candidates.h"
#include "relay/event_splitter.h"
#include "relay/relay_state.h"
#include "relay/restrictions.h"
#include "relay/send_attempt.h"
#include "relay/use_guard.h"

namespace figspoke::relay {

/// Forwards a caller's request to upstreams. It runs in the coroutine of the caller's connection. Its members
/// are defined in the forward_*.cpp files, one file for each step.
class forward_run {
  public:
    forward_run(relay_state& node, caller_exchange& exchange);
    ~forward_run();
    forward_run(const forward_run&) = delete;
    forward_run& operator=(const forward_run&) = delete;

    /// Serves the request until it is answered or the caller disconnects.
    void run();

  private:
    /// What follows an attempt.
    enum class next_step { finished, retry };

    /// Another upstream that is ready to take over a send: chosen, connected and counted in its load.
    struct replacement {
        state::upstream_entry entry;
        policy::relay_choice choice;
        upstream_link_ptr link;
        std::unique_ptr<use_guard> use;
    };

    /// A search for a replacement, which runs beside the send that has stalled.
    struct replacement_search {
        /// The send that has stalled, and its last progress.
        state::upstream_entry stalled;
        core::steady_time since{};
        stall found;
        /// The connection that is being opened.
        upstream_link_ptr link;
        bool cancelled = false;
    };

    /// The route and the account to which the present configuration leads the request.
    struct admission {
        state::relay_route route;
        std::string account;
        std::vector<std::string> account_regions;
        int rank = 0;
    };

    // Attempts.
    void attempt_until_done();
    std::optional<state::upstream_entry> next_upstream();
    std::optional<policy::end_cause> reason_to_stop();
    core::milliseconds time_left() const;

    // Admission by the present configuration.
    std::optional<core::error> admit();
    tl::expected<admission, core::error> look_up_route() const;
    std::optional<core::error> resolve_route();
    static core::error lookup_error(bool current, core::error_kind kind, const std::string& what);
    void set_deadline();
    std::string first_model() const;

    // Choice of an upstream, and waiting for capacity.
    upstream_requirements requirements_for(bool target_version) const;
    upstream_requirements any_version_requirements() const;
    void assign_session_bucket();
    bool wants_target_version();
    void record_session(const state::upstream_entry& entry);
    std::vector<policy::prompt_segment> shared_segments() const;
    std::uint64_t prefix_key(const std::vector<policy::prompt_segment>& shared) const;
    policy::relay_choice choose_upstream(const std::vector<std::string>& excluded,
                                         const boost::asio::yield_context& yield);
    std::optional<state::upstream_entry> wait_for_upstream();
    policy::repeat_budget_settings budget_settings() const;
    std::optional<state::upstream_entry> wait_in_queue();
    core::milliseconds max_queue_wait() const;
    request_regions regions() const;
    bool is_restricted_until(core::steady_time end);
    std::optional<state::upstream_entry> find_upstream(const std::string& id) const;
    double unshared_tokens() const;
    std::int64_t prompt_tokens() const;
    std::int64_t estimated_tokens() const;

    // A send to an upstream and its answer.
    bool attempts_remain() const;
    core::milliseconds plain_pause() const;
    attempt_plan plan_for(const state::upstream_entry& entry);
    next_step send_to(const state::upstream_entry& entry);
    void begin_watch(const state::upstream_entry& entry, double expected_ms);
    void record_progress(std::size_t events);
    void watch_body(core::steady_time begun_at, std::size_t received);
    next_step handle_answer(const state::upstream_entry& entry, begun_answer& answer,
                            core::steady_time sent_at);
    next_step handle_refusal(const state::upstream_entry& entry, begun_answer& answer);
    bool drop_for_larger_model(const answer_head& head);
    bool prepare_larger_model(const policy::relay_choice& choice);
    next_step forward_whole_answer(const state::upstream_entry& entry, begun_answer& answer,
                                   core::steady_time sent_at);
    bool can_repeat_failure() const;
    next_step forward_stream(const state::upstream_entry& entry, begun_answer& answer,
                             core::steady_time sent_at);
    next_step abandon_stream(const state::upstream_entry& entry, begun_answer& answer);
    std::string new_events(const std::vector<stream_event>& events);
    bool write_to_caller(const begun_answer& answer, const std::string& bytes);
    bool begin_answer(const begun_answer& answer);
    next_step finish_stream(const state::upstream_entry& entry, begun_answer& answer,
                            event_splitter& splitter);
    next_step reject_continuation(const state::upstream_entry& entry, const std::string& cause);
    next_step handle_send_failure(const state::upstream_entry& entry, const attempt_failure& failure);
    void record_unreachable(const state::upstream_entry& entry, link_failure cause);
    connect_plan plan_connection() const;

    // The move of a stalled send to another upstream.
    void on_stall(const state::upstream_entry& entry, const stall& found);
    void search_replacement(const boost::asio::yield_context& yield);
    std::optional<replacement> find_replacement(const boost::asio::yield_context& yield);
    link_result<replacement> open_replacement(const state::upstream_entry& entry,
                                              const policy::relay_choice& choice, upstream_link_ptr& link,
                                              const boost::asio::yield_context& yield);
    bool is_admitted() const;
    policy::move_verdict judge_stalled_send(const policy::relay_choice* choice) const;
    bool is_still_stalled() const;
    void keep_stalled_send(policy::move_verdict verdict);
    void log_stalled_send(const std::string& event, nlohmann::json line, policy::move_verdict verdict);
    void end_search();

    // Records of upstreams, versions and request fingerprints.
    policy::version_counts& version_counts_of(const state::upstream_entry& entry);
    void record_bad_result(const state::upstream_entry& entry);
    void record_result(const state::upstream_entry& entry, bool good, core::steady_time sent_at);
    void learn_upstream_speed(const state::upstream_entry& entry, core::milliseconds took);
    policy::paced_events send_progress() const;
    std::string pace_key(const state::upstream_entry& entry) const;
    void judge_pace(const state::upstream_entry& entry);
    void learn_pace(const state::upstream_entry& entry);
    policy::request_fingerprints make_fingerprints() const;
    bool is_on_trial() const;
    bool is_refused_for_crashes();
    bool closed_for_crashes() const;
    void begin_unproven_send();
    bool has_settled() const;
    void record_sound_request();
    void record_possible_crash(const state::upstream_entry& entry, bool closed_here);
    void record_broken_connection(const state::upstream_entry& entry);

    // Final answers.
    void on_caller_disconnect();
    void on_node_end();
    void interrupt();
    void send_answer(const caller_answer& answer);
    void finish_without_upstream();
    void finish_failed(policy::end_cause cause);
    void finish_refused_for_crashes();
    core::milliseconds retry_delay();
    void finish_with_error(const core::error& error, const std::string& end);

    // Log.
    std::string shared_part_ids() const;
    void log_send(const state::upstream_entry& entry, core::steady_time sent_at);
    nlohmann::json session_log() const;
    void write_log();

    relay_state& node_;
    caller_exchange& exchange_;
    core::steady_time arrived_;
    std::uint64_t id_;
    caller_request request_;
    state::relay_route route_;
    std::string account_;
    std::vector<std::string> account_regions_;
    std::string service_;
    int rank_ = 0;
    core::steady_time deadline_{};
    std::uint64_t config_version_ = 0;
    core::nanoseconds config_age_{0};
    std::shared_ptr<const policy::request_fingerprints> fingerprints_;
    /// `crash_ledger::changes` at the last check of the fingerprints.
    std::uint64_t checked_changes_ = 0;
    /// Number of earlier sends of a refused request at its trial.
    std::optional<std::size_t> trial_send_;
    std::uint64_t session_ = 0;
    double session_bucket_ = 0;
    /// The record of the conversation at the last choice of a version.
    std::optional<policy::session_pin> seen_pin_;
    core::steady_time seen_pin_at_{};
    double service_draw_ = 0;
    bool counted_in_budget_ = false;
    use_guard* use_ = nullptr;
    double pending_ms_ = 0;
    std::optional<int> confidence_;
    /// Confidence of the present send's answer.
    std::optional<int> send_confidence_;
    std::int64_t expected_larger_ms_ = 0;
    std::string model_;
    /// Model of the present send; `model_` may already be the model of the next attempt.
    std::string sent_model_;
    policy::send_history history_;
    policy::relay_choice choice_;
    int unsent_attempts_ = 0;
    /// Why no upstream of the service can take the request before it would have waited for too long.
    std::optional<policy::restriction_verdict> restriction_;
    bool target_failed_ = false;
    /// The node is about to exit and the answer had not begun.
    bool ended_by_stop_ = false;
    upstream_link_ptr current_link_;
    std::optional<std::uint64_t> last_event_id_;
    bool answer_started_ = false;
    /// The present send continues a stream of which the caller has a part.
    bool continues_stream_ = false;
    std::optional<caller_answer> fallback_answer_;
    std::string last_failure_;
    std::string end_;
    int status_ = 0;
    std::int64_t queued_ms_ = 0;
    /// Whole events that the present send has brought, and the time until the head of its answer.
    std::size_t send_events_ = 0;
    std::optional<core::milliseconds> send_head_after_;
    core::steady_time send_head_at_{};
    core::steady_time send_first_event_at_{};
    core::steady_time send_last_event_at_{};
    policy::event_gaps send_gaps_;
    /// Number of requests on the upstream at the start of the present send.
    int send_load_ = 0;
    /// The present send was counted as a slow one.
    bool send_slow_ = false;
    /// The present send has shown that the request doesn't crash its upstream.
    bool send_settled_ = false;
    std::optional<replacement_search> search_;
    adapters::wakeup search_ended_;
    core::steady_time next_search_{};
    /// Upstreams that could not be reached when they were to take over the present send.
    std::vector<std::string> unreachable_;
    /// Why the present send was kept when it stalled.
    std::optional<policy::move_verdict> kept_for_;
    /// The stall of the present send was counted as a failure of its upstream.
    bool stall_counted_ = false;
    /// Takes over the present send, whose connection is closed. Its repeat is counted.
    std::optional<replacement> replacement_;
    std::int64_t first_byte_ms_ = 0;
    nlohmann::json send_log_ = nlohmann::json::array();
};

} // namespace figspoke::relay
