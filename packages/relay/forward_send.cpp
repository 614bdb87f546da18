#include "relay/forward_run.h"

#include <algorithm>

#include "policy/model_choice.h"
#include "policy/prefill.h"
#include "policy/session_pins.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// A connection in one region is made within milliseconds. A first packet that is lost or dropped is repeated
// by the kernel after a second, which is too late to wait for.
constexpr core::milliseconds connect_timeout{300};
// Idle connections used for requests that can't be repeated: young ones, since an older one may have been
// closed by the upstream while the request is on its way.
constexpr core::milliseconds safe_idle{900};
constexpr core::milliseconds any_idle{8000};
// Silence after which a stream that can be resumed goes to another upstream.
constexpr core::milliseconds stream_stall{1300};
// Silence of one stream after which it is moved though its upstream serves others.
constexpr core::milliseconds longest_silence{4000};
// A plain request that may be repeated goes to another upstream after this many times its latency target.
constexpr int plain_stall_targets = 2;

} // namespace

bool forward_run::attempts_remain() const {
    return policy::attempts_used(history_) + 1 < history_.max_attempts &&
           history_.repeat != state::repeat_rule::at_most_once;
}

// Longest silence before the request goes elsewhere; until the deadline where it can't.
core::milliseconds forward_run::silence_limit() const {
    if (!attempts_remain() || route_.streaming) {
        return time_left();
    }
    return std::min(time_left(),
                    std::max(route_.latency_target * plain_stall_targets, core::milliseconds(150)));
}

attempt_plan forward_run::plan_for(const state::upstream_entry& entry) {
    attempt_plan plan;
    plan.upstream = entry;
    plan.head = &exchange_.head();
    plan.body = exchange_.body();
    plan.request_id = request_.request_id;
    upstream_send send;
    send.upstream = entry.id;
    send.account = account_;
    send.time_left = time_left();
    send.model = model_;
    send.last_event_id = last_event_ ? last_event_ : request_.last_event_id;
    send.rank = rank_;
    plan.headers = node_.protocol.write_send(exchange_.head(), send);
    plan.silence = silence_limit();
    plan.connect_timeout = std::min(connect_timeout, time_left());
    plan.max_idle = route_.repeat == state::repeat_rule::at_most_once ? safe_idle : any_idle;
    return plan;
}

forward_run::next_step forward_run::send_to(const state::upstream_entry& entry) {
    pending_ms_ = choice_.pending_ms;
    const double prefill = choice_.reading_ms;
    sent_model_ = model_;
    use_guard use(node_, entry.id, service_, {own_tokens(), prefill, rank_});
    use_ = &use;
    policy::note_prefixes(node_.prefixes, entry.id, shared_steps(), boot_now());
    note_upstream_event(node_, entry.id, policy::upstream_event::dispatched);
    const auto plan = plan_for(entry);
    const auto sent_at = boot_now();
    const double expected = prefill + pending_ms_;
    auto answer = open_answer(
        node_, plan, current_, [&] { begin_stream_watch(entry, expected); }, exchange_.yield());
    node_.streams.erase(id_);
    const auto step = answer ? take_answer(entry, *answer, sent_at) : fail_send(entry, answer.error());
    node_.streams.erase(id_);
    current_.reset();
    use_ = nullptr;
    log_send(entry, sent_at);
    return step;
}

// A stream that can go on elsewhere is given up when its upstream is silent to everybody for longer than
// the prompt should take.
void forward_run::begin_stream_watch(const state::upstream_entry& entry, double expected_ms) {
    if (!route_.streaming || !attempts_remain()) {
        return;
    }
    const auto expected = core::milliseconds(std::int64_t(expected_ms));
    node_.streams[id_] = {entry.id, current_, boot_now(), stream_stall + 2 * expected,
                          std::max(longest_silence, route_.latency_target) + 2 * expected};
}

void forward_run::note_bytes(const state::upstream_entry& entry) {
    node_.heard[entry.id] = boot_now();
    if (const auto found = node_.streams.find(id_); found != node_.streams.end()) {
        found->second.since = boot_now();
        found->second.patience = stream_stall;
        found->second.limit = longest_silence;
    }
}

forward_run::next_step forward_run::take_answer(const state::upstream_entry& entry, begun_answer& answer,
                                                core::steady_time sent_at) {
    node_.heard[entry.id] = boot_now();
    use_->prompt_is_read();
    if (answer.head.not_run || answer.head.wrong_upstream) {
        return take_refusal(entry, answer);
    }
    ++counts_of(entry).sent;
    note_session(entry);
    if (drop_for_larger_model(answer.head)) {
        history_.sends.push_back({entry.id, policy::send_result::failed});
        answer.link->close();
        return next_step::again;
    }
    const bool success = answer.head.status < 500;
    if (success && route_.streaming && answer.head.status == 200) {
        return pass_stream(entry, answer, sent_at);
    }
    return pass_whole(entry, answer, sent_at);
}

forward_run::next_step forward_run::take_refusal(const state::upstream_entry& entry, begun_answer& answer) {
    history_.sends.push_back({entry.id, policy::send_result::refused});
    note_upstream_event(node_, entry.id, policy::upstream_event::full);
    const auto rest = read_whole(answer, silence_limit(), exchange_.yield());
    if (rest) {
        release_link(node_, entry.id, answer);
    } else {
        answer.link->close();
    }
    return next_step::again;
}

// A generation may be dropped for one of a larger model while the caller has received none of it.
bool forward_run::drop_for_larger_model(const answer_head& head) {
    if (begun_ || model_.empty() || !head.confidence || head.status != 200 || !attempts_remain()) {
        return false;
    }
    const auto larger = policy::larger_model_index(route_.models, model_);
    if (!larger) {
        return false;
    }
    const auto answered = std::exchange(model_, route_.models.at(*larger));
    const auto choice = choose();
    const policy::escalation_question question{
        *head.confidence,
        core::to_ms(boot_now() - arrived_),
        core::milliseconds(std::int64_t(choice.pending_ms + choice.reading_ms)),
        route_.latency_target,
        !choice.id.empty(),
        policy::may_repeat_by_choice(node_.budgets[service_], budget_settings(), node_.peers->size(),
                                     boot_now())};
    const bool escalate = policy::should_escalate(question, {});
    if (!escalate) {
        model_ = answered;
    }
    confidence_ = *head.confidence;
    expected_larger_ms_ = question.expected.count();
    return escalate;
}

forward_run::next_step forward_run::pass_whole(const state::upstream_entry& entry, begun_answer& answer,
                                               core::steady_time sent_at) {
    auto body = read_whole(answer, silence_limit(), exchange_.yield());
    if (!body) {
        return fail_send(entry, {policy::send_result::unknown, body.error().why, body.error().message});
    }
    release_link(node_, entry.id, answer);
    const bool good = answer.head.status < 500;
    record(entry, good, sent_at);
    history_.sends.push_back({entry.id, good ? policy::send_result::succeeded : policy::send_result::failed});
    if (begun_) {
        // The caller holds a part of a stream: nothing but its continuation may follow.
        return next_step::again;
    }
    caller_answer whole{answer.head.status, without_hop_headers(answer.head.headers), std::move(*body)};
    if (!good && can_repeat_failure()) {
        fallback_ = std::move(whole);
        return next_step::again;
    }
    deliver(whole);
    return next_step::finished;
}

bool forward_run::can_repeat_failure() const {
    return policy::may_send_again(history_) && !history_.answer_begun && time_left() > connect_timeout / 10;
}

forward_run::next_step forward_run::pass_stream(const state::upstream_entry& entry, begun_answer& answer,
                                                core::steady_time sent_at) {
    const bool resumable = route_.repeat == state::repeat_rule::resumable;
    event_splitter splitter;
    bool first = true;
    begin_stream_watch(entry, 0);
    while (true) {
        auto piece = answer.link->read_piece(silence_limit(), exchange_.yield());
        if (exchange_.gone()) {
            return abandon_stream(entry, answer);
        }
        if (!piece) {
            return fail_send(entry, {policy::send_result::unknown, piece.error().why, piece.error().message});
        }
        note_bytes(entry);
        if (first) {
            first = false;
            record(entry, true, sent_at);
        }
        if (piece->empty()) {
            return end_stream(entry, answer, splitter);
        }
        const auto bytes = resumable ? whole_events(splitter, *piece) : *piece;
        if (!bytes.empty() && !write_piece(answer, bytes)) {
            return abandon_stream(entry, answer);
        }
        if (splitter.rest().size() > max_event_bytes) {
            return fail_send(entry,
                             {policy::send_result::unknown, link_failure::malformed, "an event is too long"});
        }
    }
}

forward_run::next_step forward_run::abandon_stream(const state::upstream_entry& entry, begun_answer& answer) {
    answer.link->close();
    history_.sends.push_back({entry.id, policy::send_result::unknown});
    end_ = "caller left";
    return next_step::finished;
}

// Returns the bytes of the events that the caller doesn't have yet.
std::string forward_run::whole_events(event_splitter& splitter, std::string_view piece) {
    std::string bytes;
    for (auto& event : splitter.feed(piece)) {
        if (event.id && last_event_ && *event.id <= *last_event_) {
            continue;
        }
        if (event.id) {
            last_event_ = event.id;
        }
        bytes += event.bytes;
    }
    return bytes;
}

bool forward_run::write_piece(const begun_answer& answer, const std::string& bytes) {
    if (!begin_answer(answer)) {
        return false;
    }
    return exchange_.write(bytes);
}

bool forward_run::begin_answer(const begun_answer& answer) {
    if (begun_) {
        return true;
    }
    begun_ = true;
    history_.answer_begun = true;
    status_ = answer.head.status;
    first_byte_ms_ = core::to_ms(boot_now() - arrived_).count();
    return exchange_.begin(answer.head.status, without_hop_headers(answer.head.headers));
}

forward_run::next_step forward_run::end_stream(const state::upstream_entry& entry, begun_answer& answer,
                                               event_splitter& splitter) {
    const bool cut = answer.link->ends_with_connection() && !splitter.rest().empty();
    if (cut) {
        return fail_send(entry,
                         {policy::send_result::unknown, link_failure::broken, "the stream ends in an event"});
    }
    release_link(node_, entry.id, answer);
    history_.sends.push_back({entry.id, policy::send_result::succeeded});
    bool written = begin_answer(answer);
    if (written && !splitter.rest().empty()) {
        written = exchange_.write(splitter.rest());
    }
    written = written && exchange_.end();
    end_ = written ? "served" : "caller left";
    return next_step::finished;
}

forward_run::next_step forward_run::fail_send(const state::upstream_entry& entry,
                                              const attempt_failure& failure) {
    if (current_) {
        current_->close();
    }
    history_.sends.push_back({entry.id, failure.result});
    last_failure_ = failure.message;
    if (exchange_.gone()) {
        return next_step::again;
    }
    const bool out_of_time = failure.why == link_failure::silent && boot_now() >= deadline_;
    if (failure.result == policy::send_result::not_sent) {
        ++unsent_tries_;
        confirm_crash(entry);
        note_upstream_event(node_, entry.id,
                            failure.why == link_failure::refused ? policy::upstream_event::connection_refused
                                                                 : policy::upstream_event::failed);
    } else if (!out_of_time || attempts_remain()) {
        note_upstream_event(node_, entry.id, policy::upstream_event::failed);
        note_bad(entry);
    }
    if (failure.why == link_failure::broken) {
        note_broken(entry);
    }
    return next_step::again;
}

} // namespace figspoke::relay
