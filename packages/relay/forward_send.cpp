#include "relay/forward_run.h"

#include <algorithm>

#include "policy/model_choice.h"
#include "policy/prefill.h"
#include "policy/session_pins.h"
#include "relay/boot_clock.h"
#include "relay/limits.h"
#include "relay/restrictions.h"

namespace figspoke::relay {
namespace {

// A connection within a region takes a few milliseconds. The kernel retransmits a lost SYN only after a
// second, which is too late.
constexpr core::milliseconds connect_timeout{300};
// Maximum idle time of a pooled connection. It is short for requests that can't be repeated, since the
// upstream may close an older connection while the request is in flight.
constexpr core::milliseconds max_idle_unrepeatable{900};
constexpr core::milliseconds max_idle_repeatable{8000};
// Time beyond the deadline in which bytes that have already arrived are still delivered. The upstream may
// send without end, so it is bounded.
constexpr core::milliseconds late_bytes_time{200};
// Time for the body of a refusal. The request moves on without it; it is read only to reuse the connection.
constexpr core::milliseconds refusal_body_timeout{50};
// A repeatable plain request moves to another upstream after this multiple of its latency target.
constexpr int plain_timeout_targets = 2;

// Returns whether an answer says that its body is a stream of events.
bool names_events(const answer_head& head) {
    return find_header(head.headers, "Content-Type") != nullptr;
}

// Returns whether the body of an answer may be a stream of events. An encoded body can't be read as one.
bool may_hold_events(const answer_head& head) {
    constexpr std::string_view event_stream = "text/event-stream";
    if (find_header(head.headers, "Content-Encoding") != nullptr) {
        return false;
    }
    const auto* type = find_header(head.headers, "Content-Type");
    return type == nullptr ||
           same_header(std::string_view(*type).substr(0, event_stream.size()), event_stream);
}

} // namespace

bool forward_run::attempts_remain() const {
    return policy::attempts_used(history_) + 1 < history_.max_attempts &&
           history_.retry != state::retry_policy::at_most_once;
}

// Returns the time without bytes after which a plain request moves to another upstream.
core::milliseconds forward_run::plain_pause() const {
    return std::max(route_.latency_target * plain_timeout_targets, core::milliseconds(150));
}

attempt_plan forward_run::plan_for(const state::upstream_entry& entry) {
    attempt_plan plan;
    plan.upstream = entry;
    plan.head = &exchange_.head();
    plan.body = exchange_.body();
    upstream_send send;
    send.upstream = entry.id;
    send.account = account_;
    send.time_left = time_left();
    send.model = model_;
    send.last_event_id = last_event_id_ ? last_event_id_ : request_.last_event_id;
    send.rank = rank_;
    plan.headers = node_.protocol.write_send(exchange_.head(), send);
    plan.read_timeout = time_left();
    plan.connect = plan_connection();
    return plan;
}

connect_plan forward_run::plan_connection() const {
    return {request_.request_id, std::min(connect_timeout, time_left()),
            route_.retry == state::retry_policy::at_most_once ? max_idle_unrepeatable : max_idle_repeatable};
}

forward_run::next_step forward_run::send_to(const state::upstream_entry& entry) {
    pending_ms_ = choice_.pending_ms;
    const double prefill = choice_.own_prefill_ms;
    sent_model_ = model_;
    use_guard use(node_, entry.id, service_, {estimated_tokens(), prefill, rank_});
    use_ = &use;
    auto prepared = std::exchange(replacement_, std::nullopt);
    if (prepared) {
        prepared->use.reset();
    }
    policy::record_prefixes(node_.prefixes, entry.id, shared_segments(), boot_now());
    record_upstream_event(node_, entry.id, policy::upstream_event::dispatched);
    count_limited_send(node_, entry.id);
    auto plan = plan_for(entry);
    plan.link = prepared ? std::move(prepared->link) : nullptr;
    unreachable_.clear();
    kept_for_.reset();
    stall_counted_ = false;
    send_events_ = 0;
    send_gaps_ = {};
    send_head_after_.reset();
    send_confidence_.reset();
    send_settled_ = false;
    send_slow_ = false;
    send_load_ = choice_.load;
    const auto sent_at = boot_now();
    const double expected = prefill + pending_ms_;
    auto answer = send_and_read_head(
        node_, plan, current_link_,
        [&] {
            begin_watch(entry, expected);
            begin_unproven_send();
        },
        exchange_.yield());
    node_.waiting_sends.erase(id_);
    if (answer) {
        send_head_at_ = boot_now();
        send_head_after_ = core::to_ms(send_head_at_ - sent_at);
    }
    const auto step =
        answer ? handle_answer(entry, *answer, sent_at) : handle_send_failure(entry, answer.error());
    node_.waiting_sends.erase(id_);
    end_search();
    node_.unproven_sends.erase(id_);
    current_link_.reset();
    use_ = nullptr;
    log_send(entry, sent_at);
    return step;
}

// Registers a send whose request may move to another upstream when it stalls.
void forward_run::begin_watch(const state::upstream_entry& entry, double expected_ms) {
    if (!attempts_remain()) {
        return;
    }
    const auto pauses = route_.streaming
                            ? policy::allowed_pauses({false, time_left(), route_.latency_target,
                                                      core::milliseconds(std::int64_t(expected_ms))})
                            : policy::stream_pauses{plain_pause(), plain_pause()};
    node_.waiting_sends[id_] = {entry.id, current_link_, boot_now(), pauses,
                                [this, entry](const stall& found) { on_stall(entry, found); }};
}

// Only whole events are progress of the stream: an upstream that sends a byte now and then stalls too.
void forward_run::record_progress(std::size_t events) {
    if (send_events_ == 0 && events > 0) {
        send_first_event_at_ = boot_now();
    }
    if (send_events_ > 0) {
        policy::record_gap(
            send_gaps_,
            std::chrono::duration_cast<std::chrono::microseconds>(boot_now() - send_last_event_at_), events);
    }
    if (events > 0) {
        send_last_event_at_ = boot_now();
    }
    send_events_ += events;
    const auto found = node_.waiting_sends.find(id_);
    if (found == node_.waiting_sends.end() || events == 0) {
        return;
    }
    found->second.since = boot_now();
    found->second.pauses =
        policy::allowed_pauses({true, time_left(), route_.latency_target, core::milliseconds(0)});
}

// A body that arrives too slowly has stalled, too.
void forward_run::watch_body(core::steady_time begun_at, std::size_t received) {
    const auto found = node_.waiting_sends.find(id_);
    if (found == node_.waiting_sends.end()) {
        return;
    }
    const auto wait = policy::body_wait({begun_at, deadline_, plain_pause(), true}, received, boot_now());
    found->second.since = boot_now();
    found->second.pauses = {wait, wait};
}

forward_run::next_step forward_run::handle_answer(const state::upstream_entry& entry, begun_answer& answer,
                                                  core::steady_time sent_at) {
    node_.last_byte_at[entry.id] = boot_now();
    use_->end_prefill();
    record_answer_limit(node_, entry.id, answer.head);
    record_answer_notice(node_, entry, answer.head);
    if (answer.head.load) {
        node_.stated_loads[entry.id] = {*answer.head.load, node_.uses[entry.id].requests, boot_now()};
    }
    if (answer.head.not_run || answer.head.wrong_upstream) {
        return handle_refusal(entry, answer);
    }
    ++version_counts_of(entry).sent;
    record_session(entry);
    send_confidence_ = answer.head.confidence;
    if (drop_for_larger_model(answer.head)) {
        history_.sends.push_back({entry.id, policy::send_result::failed});
        answer.link->close();
        record_possible_crash(entry, true);
        return next_step::retry;
    }
    const bool success = answer.head.status < 500;
    if (success && route_.streaming && answer.head.status == 200) {
        if (answer_started_ && !may_hold_events(answer.head)) {
            return reject_continuation(entry, "the continuation of a stream is no stream of events");
        }
        return forward_stream(entry, answer, sent_at);
    }
    return forward_whole_answer(entry, answer, sent_at);
}

forward_run::next_step forward_run::handle_refusal(const state::upstream_entry& entry, begun_answer& answer) {
    history_.sends.push_back({entry.id, policy::send_result::refused});
    record_upstream_event(node_, entry.id, policy::upstream_event::full);
    const policy::body_limits limits{boot_now(), deadline_, std::min(refusal_body_timeout, time_left()),
                                     attempts_remain()};
    const auto body = read_answer_body(answer, limits, max_discarded_bytes, exchange_.yield());
    if (body) {
        release_link(node_, entry.id, answer);
    } else {
        answer.link->close();
    }
    return next_step::retry;
}

// Selects a larger model and drops the answer if its confidence justifies that. Possible only while the
// caller has received nothing of the answer.
bool forward_run::drop_for_larger_model(const answer_head& head) {
    if (answer_started_ || replacement_ || model_.empty() || !head.confidence || head.status != 200 ||
        !attempts_remain()) {
        return false;
    }
    const auto larger = policy::escalation_model_index(route_.models, model_);
    if (!larger) {
        return false;
    }
    const auto answered = std::exchange(model_, route_.models.at(*larger));
    const auto choice = choose_upstream({}, exchange_.yield());
    const policy::escalation_input input{
        *head.confidence,
        core::to_ms(boot_now() - arrived_),
        core::milliseconds(std::int64_t(choice.pending_ms + choice.own_prefill_ms)),
        route_.latency_target,
        !choice.id.empty(),
        policy::may_repeat_optionally(node_.budgets[service_], budget_settings(), node_.peers->size(),
                                      boot_now())};
    const bool escalate = policy::should_escalate(input, {}) && prepare_larger_model(choice);
    if (!escalate) {
        model_ = answered;
    }
    confidence_ = *head.confidence;
    expected_larger_ms_ = input.expected.count();
    return escalate;
}

// The answer at hand is dropped only for an upstream that is connected and a repeat that is counted.
bool forward_run::prepare_larger_model(const policy::relay_choice& choice) {
    const auto entry = find_upstream(choice.id);
    if (!entry) {
        return false;
    }
    upstream_link_ptr link;
    auto opened = open_replacement(*entry, choice, link, exchange_.yield());
    if (!opened) {
        record_unreachable(*entry, opened.error().cause);
        return false;
    }
    const bool certain = is_admitted() && policy::take_repeat(node_.budgets[service_], budget_settings(),
                                                              node_.peers->size(), boot_now());
    if (!certain) {
        release_unused_link(node_, entry->id, link);
        return false;
    }
    replacement_ = std::move(*opened);
    return true;
}

forward_run::next_step forward_run::forward_whole_answer(const state::upstream_entry& entry,
                                                         begun_answer& answer, core::steady_time sent_at) {
    const auto begun_at = boot_now();
    begin_watch(entry, 0);
    auto body =
        read_answer_body(answer, {begun_at, deadline_, time_left(), false}, max_whole_answer_bytes,
                         exchange_.yield(), [&](std::size_t received) { watch_body(begun_at, received); });
    node_.waiting_sends.erase(id_);
    if (!body) {
        return handle_send_failure(entry,
                                   {policy::send_result::unknown, body.error().cause, body.error().message});
    }
    release_link(node_, entry.id, answer);
    const bool good = answer.head.status < 500;
    record_result(entry, good, sent_at);
    if (good) {
        record_sound_request();
    }
    history_.sends.push_back({entry.id, good ? policy::send_result::succeeded : policy::send_result::failed});
    if (answer_started_) {
        // The caller has received a part of a stream, so only its continuation may follow.
        return next_step::retry;
    }
    caller_answer whole{answer.head.status, without_hop_headers(answer.head.headers), std::move(*body),
                        std::move(answer.memory)};
    if (!good && can_repeat_failure()) {
        fallback_answer_ = std::move(whole);
        return next_step::retry;
    }
    send_answer(whole);
    return next_step::finished;
}

bool forward_run::can_repeat_failure() const {
    return policy::may_send_again(history_) && !history_.answer_begun && time_left() > connect_timeout / 10;
}

forward_run::next_step forward_run::forward_stream(const state::upstream_entry& entry, begun_answer& answer,
                                                   core::steady_time sent_at) {
    const bool resumable = route_.retry == state::retry_policy::resumable;
    event_splitter splitter;
    bool first = true;
    continues_stream_ = answer_started_;
    begin_watch(entry, 0);
    while (true) {
        auto piece = answer.link->read_some(time_left(), exchange_.yield());
        if (exchange_.disconnected()) {
            return abandon_stream(entry, answer);
        }
        if (!piece) {
            return handle_send_failure(
                entry, {policy::send_result::unknown, piece.error().cause, piece.error().message});
        }
        node_.last_byte_at[entry.id] = boot_now();
        if (first) {
            first = false;
            record_result(entry, true, sent_at);
        }
        if (piece->empty()) {
            return finish_stream(entry, answer, splitter);
        }
        const auto events = splitter.feed(*piece);
        if (continues_stream_ && !std::all_of(events.begin(), events.end(), may_continue_stream)) {
            return reject_continuation(entry, "an event of the continuation has no id");
        }
        record_progress(events.size());
        judge_pace(entry);
        if (has_settled()) {
            record_sound_request();
        }
        // Without a continuation elsewhere, a partial event is better than a delayed one.
        const auto bytes = resumable ? new_events(events) : *piece;
        if (!bytes.empty() && !write_to_caller(answer, bytes)) {
            return abandon_stream(entry, answer);
        }
        if (boot_now() >= deadline_ + late_bytes_time) {
            return handle_send_failure(entry, {policy::send_result::unknown, link_failure::timed_out,
                                               "the stream lasts beyond the deadline"});
        }
        if (!hold_answer_bytes(answer, splitter.incomplete_event().size())) {
            return handle_send_failure(entry, {policy::send_result::unknown, link_failure::malformed,
                                               "the memory for answers is exhausted"});
        }
        if (splitter.incomplete_event().size() > max_event_bytes) {
            return handle_send_failure(entry, {policy::send_result::unknown, link_failure::malformed,
                                               "a server-sent event is too long"});
        }
    }
}

forward_run::next_step forward_run::abandon_stream(const state::upstream_entry& entry, begun_answer& answer) {
    answer.link->close();
    if (!send_settled_) {
        record_possible_crash(entry, true);
    }
    history_.sends.push_back({entry.id, policy::send_result::unknown});
    end_ = "caller left";
    return next_step::finished;
}

// Returns the bytes of the events that the caller hasn't received yet.
std::string forward_run::new_events(const std::vector<stream_event>& events) {
    std::string bytes;
    for (const auto& event : events) {
        if (event.id && last_event_id_ && *event.id <= *last_event_id_) {
            continue;
        }
        if (event.id) {
            last_event_id_ = event.id;
        }
        bytes += event.bytes;
    }
    return bytes;
}

bool forward_run::write_to_caller(const begun_answer& answer, const std::string& bytes) {
    if (!begin_answer(answer)) {
        return false;
    }
    return exchange_.write(bytes);
}

bool forward_run::begin_answer(const begun_answer& answer) {
    if (answer_started_) {
        return true;
    }
    answer_started_ = true;
    history_.answer_begun = true;
    status_ = answer.head.status;
    first_byte_ms_ = core::to_ms(boot_now() - arrived_).count();
    return exchange_.begin(answer.head.status, without_hop_headers(answer.head.headers));
}

forward_run::next_step forward_run::finish_stream(const state::upstream_entry& entry, begun_answer& answer,
                                                  event_splitter& splitter) {
    const ended_stream ended{may_hold_events(answer.head), answer.link->ends_with_connection(),
                             continues_stream_, splitter.ends_within_event()};
    if (is_broken_off(ended)) {
        node_.metrics.add("relay_streams_cut_within_event_total", {{"service", entry.service}});
        return handle_send_failure(entry, {policy::send_result::unknown, link_failure::broken,
                                           "the stream ended within a server-sent event"});
    }
    if (continues_stream_ && send_events_ == 0 && !names_events(answer.head)) {
        return reject_continuation(entry, "the continuation of a stream holds no events");
    }
    release_link(node_, entry.id, answer);
    record_sound_request();
    learn_pace(entry);
    history_.sends.push_back({entry.id, policy::send_result::succeeded});
    bool written = begin_answer(answer);
    const bool rest_held = route_.retry == state::retry_policy::resumable;
    if (written && rest_held && !splitter.incomplete_event().empty()) {
        written = exchange_.write(splitter.incomplete_event());
    }
    written = written && exchange_.end();
    end_ = written ? "served" : "caller left";
    return next_step::finished;
}

// The caller must not get the text of an error in the middle of its stream, nor an end that looks complete.
forward_run::next_step forward_run::reject_continuation(const state::upstream_entry& entry,
                                                        const std::string& cause) {
    node_.metrics.add("relay_rejected_continuations_total", {});
    return handle_send_failure(entry, {policy::send_result::unknown, link_failure::malformed, cause});
}

forward_run::next_step forward_run::handle_send_failure(const state::upstream_entry& entry,
                                                        const attempt_failure& failure) {
    if (current_link_) {
        current_link_->close();
    }
    history_.sends.push_back({entry.id, failure.result});
    last_failure_ = failure.message;
    const bool closed_by_relay = exchange_.disconnected() || closed_for_crashes() || ended_by_stop_;
    if (failure.result != policy::send_result::not_sent && !send_settled_ &&
        (closed_by_relay || failure.cause == link_failure::timed_out)) {
        record_possible_crash(entry, true);
    }
    if (closed_by_relay) {
        return next_step::retry;
    }
    if (failure.cause == link_failure::withdrawn) {
        ++unsent_attempts_;
        return next_step::retry;
    }
    const bool out_of_time = failure.cause == link_failure::timed_out && boot_now() >= deadline_;
    if (failure.result == policy::send_result::not_sent) {
        ++unsent_attempts_;
        record_unreachable(entry, failure.cause);
    } else if (!stall_counted_ && (!out_of_time || attempts_remain())) {
        record_upstream_event(node_, entry.id, policy::upstream_event::failed);
        record_bad_result(entry);
    }
    if (failure.cause == link_failure::broken) {
        record_broken_connection(entry);
    }
    return next_step::retry;
}

void forward_run::record_unreachable(const state::upstream_entry& entry, link_failure cause) {
    record_upstream_down(node_, entry.id, cause);
    confirm_upstream_crash(node_, entry.id, boot_now());
    record_upstream_event(node_, entry.id,
                          cause == link_failure::refused ? policy::upstream_event::connection_refused
                                                         : policy::upstream_event::failed);
}

} // namespace figspoke::relay
