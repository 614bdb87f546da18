#include "relay/forward.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/error_json.h"
#include "core/hash.h"
#include "policy/model_choice.h"
#include "policy/rollout_plan.h"
#include "policy/session_pins.h"
#include "relay/boot_clock.h"
#include "relay/candidates.h"
#include "relay/event_splitter.h"
#include "relay/send_attempt.h"

namespace figspoke::relay {
namespace {

using nlohmann::json;
using policy::end_cause;
using policy::send_result;

// A connection in one region is made within milliseconds. A first packet that is lost or dropped is repeated
// by the kernel after a second, which is too late to wait for.
constexpr core::milliseconds connect_timeout{300};
// Tries that reached no upstream; more of them mean that the network is at fault.
constexpr int max_unsent_tries = 5;
// How often a waiting request looks for room by itself, beside being woken.
constexpr core::milliseconds queue_tick{25};
// An upstream that said that it is full gets nothing for this long.
constexpr core::milliseconds full_pause{120};
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
// Answers are given this much before the caller stops waiting.
constexpr core::milliseconds answer_margin{15};
// Parts of the latency target for which a request may wait for room.
constexpr double stream_wait_part = 0.6;
constexpr double plain_wait_part = 1.0;

// Counts a request on an upstream while it runs there, and its prompt until the first byte.
class use_guard {
  public:
    struct work {
        std::int64_t tokens = 0;
        double prefill_ms = 0;
        int rank = 0;
    };

    use_guard(relay_state& node, std::string upstream, std::string service, work counted)
        : node_(node), upstream_(std::move(upstream)), service_(std::move(service)), work_(counted) {
        auto& use = node_.uses[upstream_];
        ++use.requests;
        use.tokens += work_.tokens;
        use.pending.at(policy::rank_slot(work_.rank)) += work_.prefill_ms;
    }
    ~use_guard() {
        prompt_is_read();
        auto& use = node_.uses[upstream_];
        --use.requests;
        use.tokens -= work_.tokens;
        if (use.requests <= 0) {
            node_.uses.erase(upstream_);
        }
        wake_next(node_, service_);
    }
    use_guard(const use_guard&) = delete;
    use_guard& operator=(const use_guard&) = delete;

    void prompt_is_read() {
        node_.uses[upstream_].pending.at(policy::rank_slot(work_.rank)) -= work_.prefill_ms;
        work_.prefill_ms = 0;
    }

  private:
    relay_state& node_;
    std::string upstream_;
    std::string service_;
    work work_;
};

// The parts of a prompt that other requests may share: all but the last.
std::vector<policy::prompt_step> shared_steps(const caller_request& request, const std::string& model) {
    std::vector<policy::prompt_step> steps;
    std::string text = model;
    for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
        text += '/' + request.prompt[i].id;
        steps.push_back({core::stable_hash(text), request.prompt[i].tokens});
    }
    return steps;
}

class forward_run {
  public:
    forward_run(relay_state& node, caller_exchange& exchange)
        : node_(node), exchange_(exchange), arrived_(boot_now()), id_(node.next_request++) {}

    void run() {
        request_ = node_.protocol.read_request(exchange_.head());
        exchange_.on_gone([this] { leave(); });
        if (const auto refusal = admit()) {
            finish_with(*refusal, "admission");
        } else {
            attempt_until_done();
        }
        write_log();
    }

  private:
    // What one attempt leads to.
    enum class next_step { finished, again };

    // ---- admission

    std::optional<core::error> admit() {
        if (request_.request_id.empty()) {
            return core::error{core::error_kind::bad_request, "the request has no usable id", std::nullopt};
        }
        if (exchange_.head().target.empty() || exchange_.head().target.front() != '/') {
            return core::error{core::error_kind::bad_request, "the target is not a path", std::nullopt};
        }
        if (!is_configured(node_)) {
            return core::error{core::error_kind::store_unavailable, "no configuration was read yet",
                               std::nullopt};
        }
        if (auto refusal = resolve()) {
            return refusal;
        }
        if (!route_.anonymous && config_age_ > key_confirmation_limit(node_.settings.bounds)) {
            return core::error{core::error_kind::store_unavailable,
                               "the configuration was not confirmed recently enough to accept keys",
                               std::nullopt};
        }
        fingerprint_ =
            core::stable_hash(exchange_.head().target + '\n' + request_.api_key + '\n' + *exchange_.body());
        if (policy::is_refused(node_.crashes, {}, fingerprint_)) {
            return core::error{core::error_kind::overloaded, "the request crashed several upstreams",
                               core::milliseconds(5000)};
        }
        set_deadline();
        history_.repeat = route_.repeat;
        history_.max_attempts = route_.max_attempts;
        model_ = first_model();
        service_draw_ = draw(node_);
        return std::nullopt;
    }

    // Reads route and account from the present configuration. Done again before each send, so that a route
    // or key that was taken away meanwhile ends the request.
    std::optional<core::error> resolve() {
        const auto table = node_.routes;
        config_version_ = table->version;
        config_age_ = document_age(node_, document_kind::operator_config, boot_now());
        const bool current = config_age_ < node_.settings.bounds.change;
        const auto* route = state::find_route(*table, request_.host, exchange_.head().target);
        if (route == nullptr) {
            return missing(current, core::error_kind::not_found, "no route leads there");
        }
        rank_ = route->rank;
        account_.clear();
        if (!route->anonymous) {
            const auto* account = state::find_account(*table, request_.api_key);
            if (account == nullptr) {
                return missing(current, core::error_kind::unauthorized, "the API key is not known");
            }
            account_ = account->name;
            rank_ = account->rank.value_or(route->rank);
        } else if (const auto* account = state::find_account(*table, request_.api_key)) {
            account_ = account->name;
        }
        route_ = *route;
        return std::nullopt;
    }

    // A node that may have missed a change doesn't claim that something doesn't exist.
    static core::error missing(bool current, core::error_kind kind, const std::string& what) {
        if (current) {
            return {kind, what, std::nullopt};
        }
        return {core::error_kind::store_unavailable, what + " in a configuration that may be out of date",
                std::nullopt};
    }

    void set_deadline() {
        auto wait = route_.timeout;
        if (request_.deadline) {
            wait = std::min(wait, *request_.deadline);
        }
        deadline_ = arrived_ + std::max(wait - answer_margin, answer_margin);
    }

    std::string first_model() const {
        if (route_.models.empty() || !request_.any_model) {
            return {};
        }
        return route_.models.at(policy::first_model_index(route_.models.size()));
    }

    // ---- the loop over attempts

    void attempt_until_done() {
        while (!exchange_.gone()) {
            const auto choice = wait_for_upstream();
            if (exchange_.gone()) {
                break;
            }
            if (!choice) {
                finish_without_upstream();
                return;
            }
            if (send_to(*choice) == next_step::finished) {
                return;
            }
            if (const auto cause = reason_to_stop()) {
                finish_failed(*cause);
                return;
            }
            if (const auto refusal = resolve()) {
                finish_with(policy::never_ran(history_) ? *refusal
                                                        : core::error{core::error_kind::upstream_failed,
                                                                      refusal->message, std::nullopt},
                            "configuration changed");
                return;
            }
        }
        end_ = "caller left";
    }

    std::optional<end_cause> reason_to_stop() {
        if (boot_now() >= deadline_) {
            return end_cause::deadline;
        }
        if (!policy::may_send_again(history_) || unsent_tries_ >= max_unsent_tries) {
            return end_cause::no_more_attempts;
        }
        const bool last_unsent =
            !history_.sends.empty() && history_.sends.back().result == send_result::not_sent;
        if (last_unsent) {
            return std::nullopt;
        }
        const policy::repeat_budget_settings budget{node_.settings.bounds.repeat_ratio,
                                                    node_.settings.bounds.repeat_slack,
                                                    node_.settings.bounds.repeat_window};
        if (!policy::take_repeat(node_.budgets[service_], budget, node_.peers->size(), boot_now())) {
            return end_cause::out_of_budget;
        }
        return std::nullopt;
    }

    // ---- choice of an upstream

    upstream_need need_of(bool target_version) const {
        upstream_need need;
        need.service = service_;
        need.model = model_;
        need.tokens = own_tokens();
        need.shared = shared_steps(request_, model_);
        need.prompt_tokens = prompt_tokens();
        need.rank = rank_;
        need.may_probe = route_.repeat != state::repeat_rule::at_most_once;
        if (const auto found = node_.rollouts.find(service_); found != node_.rollouts.end()) {
            auto& version = target_version ? need.only_version : need.avoided_version;
            version = found->second.order.target;
        }
        return need;
    }

    // Where no upstream of the old version is left, the other one serves, unless it was found bad: the old
    // ones stop at the end of a roll-out, which this node may not know yet.
    upstream_need any_version_need() const {
        auto need = need_of(false);
        const auto found = node_.rollouts.find(service_);
        if (found != node_.rollouts.end() && !found->second.stopped) {
            need.avoided_version.clear();
        }
        return need;
    }

    // A conversation has a fixed place in each roll-out; a request without one is placed by chance.
    void place_session() {
        session_ = request_.session.empty() ? 0 : core::stable_hash(service_ + '/' + request_.session);
        session_place_ = session_ == 0 ? draw(node_) : policy::session_place(session_);
    }

    bool wants_target_version() const {
        const auto found = node_.rollouts.find(service_);
        if (found == node_.rollouts.end() || found->second.stopped || target_failed_) {
            return false;
        }
        const policy::rollout_clock clock{boot_now() - found->second.began, found->second.order.duration};
        const policy::rollout_side side{session_place_, found->second.share, policy::in_trial(clock, {}),
                                        node_.settings.bounds.session};
        return policy::takes_target(node_.sessions, session_, side, boot_now());
    }

    // Only conversations that a trial would move need to be known to the peers.
    void note_session(const state::upstream_entry& entry) {
        const auto trial = policy::trial_share(node_.settings.bounds.exposure_share, {});
        if (session_ == 0 || session_place_ >= trial) {
            return;
        }
        const auto found = node_.rollouts.find(entry.service);
        const bool on_target = found != node_.rollouts.end() && found->second.order.target == entry.version;
        policy::note_session(node_.sessions, session_, on_target, boot_now());
    }

    // A prompt without shared parts has an owner as well: any fixed one will do.
    std::uint64_t prefix_of(const std::vector<policy::prompt_step>& shared) const {
        if (prompt_tokens() <= 0) {
            return 0;
        }
        return shared.empty() ? id_ : shared.back().chain;
    }

    policy::relay_choice choose() {
        policy::relay_wish wish;
        wish.prefix = prefix_of(shared_steps(request_, model_));
        wish.failure_domain = node_.settings.failure_domain;
        wish.first = draw(node_);
        wish.second = draw(node_);
        for (const auto& send : history_.sends) {
            wish.tried.push_back(send.upstream);
        }
        const bool target = wants_target_version();
        const auto settings = choice_settings(node_, service_);
        auto choice = policy::choose_relay_upstream(relay_candidates(node_, need_of(target)), settings, wish);
        if (choice.reason == policy::relay_reason::none && target) {
            choice = policy::choose_relay_upstream(relay_candidates(node_, need_of(false)), settings, wish);
        }
        if (choice.reason == policy::relay_reason::none && wish.tried.empty()) {
            choice =
                policy::choose_relay_upstream(relay_candidates(node_, any_version_need()), settings, wish);
        }
        if (choice.reason == policy::relay_reason::none && !wish.tried.empty()) {
            // Every upstream was tried; one that refused or was not reached may be asked again.
            wish.tried.clear();
            choice = policy::choose_relay_upstream(relay_candidates(node_, need_of(target)), settings, wish);
        }
        return choice;
    }

    std::optional<state::upstream_entry> wait_for_upstream() {
        service_ = state::choose_service(route_, service_draw_);
        if (!counted_) {
            place_session();
            policy::count_request(node_.budgets[service_], budget_settings(), boot_now());
            counted_ = true;
        }
        if (policy::waiting_for(node_.queue, service_) == 0) {
            choice_ = choose();
            if (!choice_.id.empty()) {
                return entry_of(choice_.id);
            }
        }
        return wait_in_queue();
    }

    policy::repeat_budget_settings budget_settings() const {
        return {node_.settings.bounds.repeat_ratio, node_.settings.bounds.repeat_slack,
                node_.settings.bounds.repeat_window};
    }

    std::optional<state::upstream_entry> wait_in_queue() {
        const auto give_up = std::min(deadline_, arrived_ + longest_wait());
        const auto service = service_;
        const policy::waiting_request waiting{id_, rank_, arrived_, route_.latency_target};
        if (boot_now() >= give_up || !policy::add_waiting(node_.queue, {}, service, waiting)) {
            return std::nullopt;
        }
        const auto signal = std::make_shared<adapters::wakeup>(exchange_.yield().get_executor());
        node_.waiting[id_] = signal;
        std::optional<state::upstream_entry> found;
        while (!found && !exchange_.gone() && boot_now() < give_up) {
            if (policy::next_waiting(node_.queue, {}, service, boot_now()) == id_) {
                choice_ = choose();
                if (!choice_.id.empty()) {
                    found = entry_of(choice_.id);
                    break;
                }
            }
            const auto left = std::min<core::nanoseconds>(queue_tick, give_up - boot_now());
            signal->wait_until(std::chrono::steady_clock::now() + left, exchange_.yield());
        }
        queued_ms_ += core::to_ms(boot_now() - arrived_).count();
        node_.waiting.erase(id_);
        policy::remove_waiting(node_.queue, service, id_);
        wake_next(node_, service);
        return found;
    }

    core::milliseconds longest_wait() const {
        const double part = route_.streaming ? stream_wait_part : plain_wait_part;
        return core::milliseconds(std::int64_t(part * double(route_.latency_target.count())));
    }

    std::optional<state::upstream_entry> entry_of(const std::string& id) const {
        const auto found = node_.registry.upstreams.find(id);
        return found == node_.registry.upstreams.end() ? std::nullopt
                                                       : std::make_optional(found->second.entry);
    }

    // ---- one send

    // The part of the prompt that no other request shares, so that it is surely read.
    double own_part() const {
        return request_.prompt.empty() ? double(prompt_tokens()) : double(request_.prompt.back().tokens);
    }

    std::int64_t prompt_tokens() const {
        std::int64_t parts = 0;
        for (const auto& part : request_.prompt) {
            parts += part.tokens;
        }
        return std::max(parts, request_.prompt_tokens);
    }

    std::int64_t own_tokens() const {
        const auto out = request_.expected_tokens.value_or(request_.max_tokens);
        return prompt_tokens() + out;
    }

    core::milliseconds time_left() const {
        return std::max(core::to_ms(deadline_ - boot_now()), core::milliseconds(1));
    }

    bool attempts_remain() const {
        return policy::attempts_used(history_) + 1 < history_.max_attempts &&
               history_.repeat != state::repeat_rule::at_most_once;
    }

    // Longest silence before the request goes elsewhere; until the deadline where it can't.
    core::milliseconds silence_limit() const {
        if (!attempts_remain()) {
            return time_left();
        }
        if (route_.streaming) {
            return time_left();
        }
        return std::min(time_left(),
                        std::max(route_.latency_target * plain_stall_targets, core::milliseconds(150)));
    }

    attempt_plan plan_for(const state::upstream_entry& entry) {
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

    next_step send_to(const state::upstream_entry& entry) {
        const auto need = need_of(false);
        pending_ms_ = choice_.pending_ms;
        const double prefill = choice_.reading_ms;
        sent_model_ = model_;
        use_guard use(node_, entry.id, service_, {own_tokens(), prefill, rank_});
        use_ = &use;
        policy::note_prefixes(node_.prefixes, entry.id, need.shared, boot_now());
        policy::record_dispatch(node_.health, entry.id, boot_now());
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
    void begin_stream_watch(const state::upstream_entry& entry, double expected_ms) {
        if (!route_.streaming || !attempts_remain()) {
            return;
        }
        const auto expected = core::milliseconds(std::int64_t(expected_ms));
        node_.streams[id_] = {entry.id, current_, boot_now(), stream_stall + 2 * expected,
                              std::max(longest_silence, route_.latency_target) + 2 * expected};
    }

    void note_bytes(const state::upstream_entry& entry) {
        node_.heard[entry.id] = boot_now();
        if (const auto found = node_.streams.find(id_); found != node_.streams.end()) {
            found->second.since = boot_now();
            found->second.patience = stream_stall;
            found->second.limit = longest_silence;
        }
    }

    next_step take_answer(const state::upstream_entry& entry, begun_answer& answer,
                          core::steady_time sent_at) {
        node_.heard[entry.id] = boot_now();
        use_->prompt_is_read();
        if (answer.head.not_run || answer.head.wrong_upstream) {
            return take_refusal(entry, answer);
        }
        count_version(entry, [](auto& counts) { ++counts.sent; });
        note_session(entry);
        if (drop_for_larger_model(answer.head)) {
            history_.sends.push_back({entry.id, send_result::unknown});
            history_.sends.back().result = send_result::failed;
            answer.link->close();
            return next_step::again;
        }
        const bool success = answer.head.status < 500;
        if (success && route_.streaming && answer.head.status == 200) {
            return pass_stream(entry, answer, sent_at);
        }
        return pass_whole(entry, answer, sent_at);
    }

    next_step take_refusal(const state::upstream_entry& entry, begun_answer& answer) {
        history_.sends.push_back({entry.id, send_result::refused});
        node_.full_until[entry.id] = boot_now() + full_pause;
        const auto rest = read_whole(answer, silence_limit(), exchange_.yield());
        if (rest) {
            release_link(node_, entry.id, answer);
        } else {
            answer.link->close();
        }
        return next_step::again;
    }

    // A generation may be dropped for one of a larger model while the caller has received none of it.
    bool drop_for_larger_model(const answer_head& head) {
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
            *head.confidence, core::to_ms(boot_now() - arrived_),
            core::milliseconds(std::int64_t(choice.pending_ms + choice.reading_ms)), route_.latency_target};
        const bool escalate = policy::should_escalate(question, {});
        if (!escalate) {
            model_ = answered;
        }
        confidence_ = *head.confidence;
        expected_larger_ms_ = question.expected.count();
        return escalate;
    }

    next_step pass_whole(const state::upstream_entry& entry, begun_answer& answer,
                         core::steady_time sent_at) {
        auto body = read_whole(answer, silence_limit(), exchange_.yield());
        if (!body) {
            return fail_send(entry, {send_result::unknown, body.error().why, body.error().message});
        }
        release_link(node_, entry.id, answer);
        const bool good = answer.head.status < 500;
        record(entry, good, sent_at);
        history_.sends.push_back({entry.id, good ? send_result::succeeded : send_result::failed});
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

    bool can_repeat_failure() const {
        return policy::may_send_again(history_) && !history_.answer_begun &&
               time_left() > connect_timeout / 10;
    }

    next_step pass_stream(const state::upstream_entry& entry, begun_answer& answer,
                          core::steady_time sent_at) {
        const bool resumable = route_.repeat == state::repeat_rule::resumable;
        event_splitter splitter;
        bool first = true;
        begin_stream_watch(entry, 0);
        while (true) {
            auto piece = answer.link->read_piece(silence_limit(), exchange_.yield());
            if (exchange_.gone()) {
                answer.link->close();
                history_.sends.push_back({entry.id, send_result::unknown});
                end_ = "caller left";
                return next_step::finished;
            }
            if (!piece) {
                return fail_send(entry, {send_result::unknown, piece.error().why, piece.error().message});
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
                answer.link->close();
                history_.sends.push_back({entry.id, send_result::unknown});
                end_ = "caller left";
                return next_step::finished;
            }
            if (splitter.rest().size() > max_event_bytes) {
                return fail_send(entry,
                                 {send_result::unknown, link_failure::malformed, "an event is too long"});
            }
        }
    }

    // Returns the bytes of the events that the caller doesn't have yet.
    std::string whole_events(event_splitter& splitter, std::string_view piece) {
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

    bool write_piece(const begun_answer& answer, const std::string& bytes) {
        if (!begin_answer(answer)) {
            return false;
        }
        return exchange_.write(bytes);
    }

    bool begin_answer(const begun_answer& answer) {
        if (begun_) {
            return true;
        }
        begun_ = true;
        history_.answer_begun = true;
        status_ = answer.head.status;
        first_byte_ms_ = core::to_ms(boot_now() - arrived_).count();
        return exchange_.begin(answer.head.status, without_hop_headers(answer.head.headers));
    }

    next_step end_stream(const state::upstream_entry& entry, begun_answer& answer, event_splitter& splitter) {
        const bool cut = answer.link->ends_with_connection() && !splitter.rest().empty();
        if (cut) {
            return fail_send(entry,
                             {send_result::unknown, link_failure::broken, "the stream ends in an event"});
        }
        release_link(node_, entry.id, answer);
        history_.sends.push_back({entry.id, send_result::succeeded});
        bool written = begin_answer(answer);
        if (written && !splitter.rest().empty()) {
            written = exchange_.write(splitter.rest());
        }
        written = written && exchange_.end();
        end_ = written ? "served" : "caller left";
        return next_step::finished;
    }

    next_step fail_send(const state::upstream_entry& entry, const attempt_failure& failure) {
        if (current_) {
            current_->close();
        }
        history_.sends.push_back({entry.id, failure.result});
        last_failure_ = failure.message;
        if (exchange_.gone()) {
            return next_step::again;
        }
        const bool out_of_time = failure.why == link_failure::silent && boot_now() >= deadline_;
        if (failure.result == send_result::not_sent) {
            ++unsent_tries_;
            confirm_crash(entry);
            policy::record_outcome(node_.health, entry.id, false, boot_now());
        } else if (!out_of_time || attempts_remain()) {
            policy::record_outcome(node_.health, entry.id, false, boot_now());
            note_bad(entry);
        }
        if (failure.why == link_failure::broken) {
            note_broken(entry);
        }
        return next_step::again;
    }

    // ---- evidence

    template <class Change>
    void count_version(const state::upstream_entry& entry, Change change) {
        change(node_.versions[{entry.service, entry.version}]);
    }

    void note_bad(const state::upstream_entry& entry) {
        count_version(entry, [](auto& counts) { ++counts.bad; });
        const auto found = node_.rollouts.find(entry.service);
        target_failed_ =
            target_failed_ || (found != node_.rollouts.end() && found->second.order.target == entry.version);
    }

    void record(const state::upstream_entry& entry, bool good, core::steady_time sent_at) {
        policy::record_outcome(node_.health, entry.id, good, boot_now());
        if (!good) {
            note_bad(entry);
            return;
        }
        policy::clear_fingerprint(node_.crashes, fingerprint_, boot_now());
        const auto took = core::to_ms(boot_now() - sent_at);
        if (!model_.empty()) {
            policy::learn_prefill(node_.prefill, sent_model_, {own_part(), took, pending_ms_});
        }
        count_version(entry, [&](auto& counts) {
            ++counts.good;
            counts.slow += took > route_.latency_target ? 1 : 0;
            counts.first_byte_ms += std::uint64_t(took.count());
        });
        node_.metrics.observe("relay_first_byte_seconds", {{"service", entry.service}}, took);
    }

    // A connection that breaks while the upstream works may be a crash that the request caused. It counts
    // once the upstream is found to be down, since connections are reset for other reasons too.
    void note_broken(const state::upstream_entry& entry) {
        node_.pool.drop(entry.id);
        policy::note_broken_run(node_.crashes, {}, {fingerprint_, entry.id, boot_now()});
    }

    void confirm_crash(const state::upstream_entry& entry) {
        for (const auto fingerprint : policy::confirm_crash(node_.crashes, {}, entry.id, boot_now())) {
            node_.log.state("requests_refused_for_crashes",
                            {{"fingerprint", fingerprint}, {"upstream", entry.id}});
        }
    }

    // ---- ends

    void leave() {
        if (current_) {
            current_->close();
        }
        if (const auto found = node_.waiting.find(id_); found != node_.waiting.end()) {
            found->second->signal();
        }
    }

    void deliver(const caller_answer& answer) {
        status_ = answer.status;
        end_ = exchange_.send(answer) ? "served" : "caller left";
    }

    void finish_without_upstream() {
        const bool full = choice_.reason == policy::relay_reason::full;
        const bool late = boot_now() >= deadline_;
        finish_failed(late ? end_cause::deadline
                           : (full ? end_cause::refused_at_once : end_cause::no_upstream));
    }

    void finish_failed(end_cause cause) {
        if (begun_) {
            // The answer ends without its end mark, so that it can't be taken for a whole one.
            end_ = "stream broken off: " + std::string(policy::to_string(cause));
            return;
        }
        if (fallback_) {
            deliver(*fallback_);
            return;
        }
        core::error error{policy::final_error(history_, cause), last_failure_, std::nullopt};
        if (error.message.empty()) {
            error.message = policy::to_string(cause);
        }
        if (policy::never_ran(history_)) {
            error.retry_after = retry_pause();
        }
        finish_with(error, std::string(policy::to_string(cause)));
    }

    // Spreads the returns over a part of the time that the caller has left.
    core::milliseconds retry_pause() {
        const double left = double(std::max<std::int64_t>(core::to_ms(deadline_ - boot_now()).count(), 0));
        return core::milliseconds(std::int64_t(std::min(left * (0.08 + 0.17 * draw(node_)), 1500.0)));
    }

    void finish_with(const core::error& error, const std::string& end) {
        end_ = end + ": " + error.message;
        if (begun_) {
            return;
        }
        const auto& answer = core::error_answer_for(error.kind);
        status_ = answer.http_status;
        caller_answer reply{
            answer.http_status, {{"Content-Type", "application/json"}}, core::render_error(error)};
        if (const auto retry = core::retry_time(error);
            retry && answer.execution == core::execution::not_run) {
            char seconds[32];
            std::snprintf(seconds, sizeof(seconds), "%.3f", core::to_seconds(*retry));
            reply.headers.emplace_back("Retry-After", seconds);
        }
        exchange_.send(reply);
    }

    // ---- log

    void log_send(const state::upstream_entry& entry, core::steady_time sent_at) {
        const auto& last = history_.sends.empty() ? policy::send_record{} : history_.sends.back();
        sends_.push_back({{"upstream", entry.id},
                          {"version", entry.version},
                          {"model", sent_model_},
                          {"reason", policy::to_string(choice_.reason)},
                          {"load", choice_.load},
                          {"expected_ms", std::int64_t(choice_.pending_ms + choice_.reading_ms)},
                          {"result", policy::to_string(last.result)},
                          {"ms", core::to_ms(boot_now() - sent_at).count()}});
    }

    void write_log() {
        const auto total = core::to_ms(boot_now() - arrived_);
        json line = {{"event", "request"},
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
                     {"sends", std::move(sends_)}};
        if (confidence_) {
            line["confidence"] = *confidence_;
            line["expected_larger_ms"] = expected_larger_ms_;
        }
        if (!last_failure_.empty()) {
            line["failure"] = last_failure_;
        }
        node_.log.request(line);
        node_.metrics.add("relay_requests_total", {{"status", std::to_string(status_)}});
        node_.metrics.observe("relay_request_seconds", {}, total);
    }

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
    json sends_ = json::array();
};

} // namespace

void forward_request(relay_state& node, caller_exchange& exchange) {
    forward_run run(node, exchange);
    run.run();
}

} // namespace figspoke::relay
