#include "relay/forward_run.h"

#include <algorithm>

#include "core/hash.h"
#include "policy/prefill.h"
#include "policy/rollout_plan.h"
#include "policy/session_pins.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// Interval at which a queued request looks for capacity when no event wakes it.
constexpr core::milliseconds queue_poll_interval{25};
// Interval at which one that is not next looks whether it is still worth waiting, in a long queue.
constexpr core::milliseconds queue_check_interval{100};
constexpr std::size_t long_queue = 16;
// Sends that reached no upstream after which one that is suspected to be down isn't tried any more.
constexpr int max_unsent_last_resorts = 2;
// Callers abandon a stream after the longest of these: a fixed time, a multiple of the latency target and a
// multiple of the longest pause that is on time.
constexpr core::milliseconds min_stream_patience{2000};
constexpr int patience_targets = 4;
constexpr int patience_gaps = 8;
// Work of a generated token, in tokens that are read.
constexpr double output_token_weight = 10;

} // namespace

// Returns the segments of the prompt that other requests may share: all but the last.
std::vector<policy::prompt_segment> forward_run::shared_segments() const {
    std::vector<policy::prompt_segment> steps;
    std::string text = model_;
    for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i) {
        text += '/' + request_.prompt[i].id;
        steps.push_back({core::stable_hash(text), request_.prompt[i].tokens});
    }
    return steps;
}

upstream_requirements forward_run::requirements_for(bool target_version) const {
    upstream_requirements requirements;
    requirements.service = service_;
    requirements.model = model_;
    requirements.tokens = estimated_tokens();
    requirements.shared = shared_segments();
    requirements.prompt_tokens = prompt_tokens();
    requirements.rank = rank_;
    requirements.regions = regions();
    requirements.may_probe = route_.retry != state::retry_policy::at_most_once;
    if (const auto found = node_.rollouts.find(service_); found != node_.rollouts.end()) {
        auto& version = target_version ? requirements.only_version : requirements.excluded_version;
        version = found->second.order.target;
    }
    return requirements;
}

// Permits both versions unless the roll-out was stopped for a bad target version. Used when no upstream of
// the old version is left: these stop at the end of a roll-out, which this node may not know yet.
upstream_requirements forward_run::any_version_requirements() const {
    auto requirements = requirements_for(false);
    const auto found = node_.rollouts.find(service_);
    if (found != node_.rollouts.end() && !found->second.stopped) {
        requirements.excluded_version.clear();
    }
    return requirements;
}

// A conversation has a fixed bucket in each roll-out; a request without a conversation gets a random one.
void forward_run::assign_session_bucket() {
    session_ = request_.session.empty() ? 0 : core::stable_hash(service_ + '/' + request_.session);
    session_bucket_ = session_ == 0 ? draw(node_) : policy::session_bucket(session_);
}

bool forward_run::wants_target_version() {
    const auto found = node_.rollouts.find(service_);
    if (found == node_.rollouts.end() || found->second.stopped) {
        return false;
    }
    const policy::rollout_timing timing{boot_now() - found->second.started_at, found->second.order.duration};
    if (target_failed_ && policy::repeats_on_old_version(timing, found->second.verdict, {})) {
        return false;
    }
    const policy::rollout_selection selection{session_bucket_, found->second.share,
                                              policy::in_trial(timing, {}), node_.settings.bounds.session};
    if (session_ != 0 && selection.trial && selection.bucket < selection.share) {
        seen_pin_ =
            policy::find_session(node_.sessions, service_, request_.session,
                                 state::versions_of(node_.registry, service_), found->second.order.target);
        seen_pin_at_ = boot_now();
    }
    return policy::uses_target_version(seen_pin_, selection, boot_now());
}

// Peers need only the conversations whose bucket is in the trial share.
void forward_run::record_session(const state::upstream_entry& entry) {
    const auto trial = policy::trial_share(node_.settings.bounds.exposure_share, {});
    if (session_ == 0 || session_bucket_ >= trial) {
        return;
    }
    policy::begin_session_request(node_.sessions, id_,
                                  policy::make_session_key(entry.service, request_.session, entry.version),
                                  boot_now());
}

// A prompt without shared segments gets an owner too; the request's id selects it.
std::uint64_t forward_run::prefix_key(const std::vector<policy::prompt_segment>& shared) const {
    if (prompt_tokens() <= 0) {
        return 0;
    }
    return shared.empty() ? id_ : shared.back().prefix_hash;
}

policy::relay_choice forward_run::choose_upstream() {
    policy::placement_request placement;
    placement.prefix = prefix_key(shared_segments());
    placement.failure_domain = node_.settings.failure_domain;
    placement.first = draw(node_);
    placement.second = draw(node_);
    for (const auto& send : history_.sends) {
        placement.tried.push_back(send.upstream);
    }
    const bool target = wants_target_version();
    const auto settings = choice_settings(node_, service_);
    const auto choose_for = [&](const upstream_requirements& requirements) {
        return policy::choose_relay_upstream(
            relay_candidates(node_, requirements, placement, exchange_.yield()), settings, placement);
    };
    auto choice = choose_for(requirements_for(target));
    if (choice.reason == policy::relay_reason::none && target) {
        choice = choose_for(requirements_for(false));
    }
    if (choice.reason == policy::relay_reason::none && placement.tried.empty() &&
        !any_upstream_matches(node_, requirements_for(false))) {
        choice = choose_for(any_version_requirements());
    }
    if (choice.reason == policy::relay_reason::none && !placement.tried.empty()) {
        // Every upstream was tried; one that refused or was unreachable may be tried again.
        placement.tried.clear();
        choice = choose_for(requirements_for(target));
    }
    return choice;
}

std::optional<state::upstream_entry> forward_run::wait_for_upstream() {
    service_ = state::choose_service(route_, service_draw_);
    if (!counted_in_budget_) {
        assign_session_bucket();
        policy::count_request(node_.budgets[service_], budget_settings(), boot_now());
        counted_in_budget_ = true;
    }
    refusal_ = nullptr;
    if (policy::waiting_count(node_.queue, service_) == 0) {
        if (auto found = find_capacity()) {
            return found;
        }
    }
    return wait_in_queue();
}

// Chooses an upstream that is expected to begin its answer before the deadline.
std::optional<state::upstream_entry> forward_run::find_capacity() {
    choice_ = choose_upstream();
    if (choice_.id.empty()) {
        return std::nullopt;
    }
    // Where upstreams are lost, a request would use up its attempts on others that are lost too. It waits
    // until one is found that works.
    if (route_.streaming && unsent_attempts_ >= max_unsent_last_resorts &&
        choice_.reason == policy::relay_reason::last_resort) {
        choice_.reason = policy::relay_reason::none;
        return std::nullopt;
    }
    if (!answer_started_ && expected_head_ms() > double(time_left().count())) {
        choice_.reason = policy::relay_reason::full;
        return std::nullopt;
    }
    return find_upstream(choice_.id);
}

double forward_run::expected_head_ms() const {
    return choice_.pending_ms + choice_.own_prefill_ms;
}

// Returns whether the present choice begins the answer after the latency target, or it began after it.
bool forward_run::misses_latency_target() const {
    const auto target = double(route_.latency_target.count());
    if (answer_started_) {
        return double(first_byte_ms_) > target;
    }
    return double(core::to_ms(boot_now() - arrived_).count()) + expected_head_ms() > target;
}

policy::repeat_budget_settings forward_run::budget_settings() const {
    return {node_.settings.bounds.repeat_ratio, node_.settings.bounds.repeat_slack,
            node_.settings.bounds.repeat_window};
}

double forward_run::run_size() const {
    const auto out = request_.expected_tokens.value_or(request_.max_tokens);
    return double(prompt_tokens()) + output_token_weight * double(out);
}

policy::queued_request forward_run::queue_entry() const {
    const auto now = boot_now();
    const auto run = policy::expected_run(node_.runs, route_.name, run_size());
    policy::queued_request entry;
    entry.id = id_;
    entry.rank = rank_;
    entry.since = now;
    entry.latency_target = route_.latency_target;
    entry.account = account_;
    entry.work = std::max(run, core::milliseconds(1));
    entry.continues = answer_started_;
    // A stream is on time by its first event, any other answer by its end.
    const auto until_on_time =
        route_.streaming
            ? core::milliseconds(std::int64_t(policy::prefill_ms(node_.prefill, model_, unshared_tokens())))
            : run;
    entry.on_time_until = arrived_ + route_.latency_target - until_on_time;
    entry.serve_until = deadline_ - run;
    if (route_.streaming) {
        const auto patience = std::max({min_stream_patience, route_.latency_target * patience_targets,
                                        route_.target_gap * patience_gaps});
        entry.serve_until =
            std::min(entry.serve_until, (answer_started_ ? now : arrived_) + patience - until_on_time);
    } else {
        // Plain upstreams serve in the order of arrival: what is late already would delay the requests of
        // other nodes that can be on time.
        entry.serve_until = std::min(entry.serve_until, arrived_ + route_.latency_target);
    }
    return entry;
}

// Adds the request to the queue, where it is full in the place of one of an account that fills it.
bool forward_run::enter_queue(const policy::queued_request& entry) {
    const policy::relay_queue_settings settings;
    if (policy::is_hopeless(node_.queue, settings, service_, entry, boot_now())) {
        refusal_ = "hopeless";
        return false;
    }
    if (policy::add_waiting(node_.queue, settings, service_, entry)) {
        return true;
    }
    const auto displaced = policy::request_to_displace(node_.queue, service_, entry);
    if (!displaced) {
        refusal_ = "queue_full";
        return false;
    }
    policy::remove_waiting(node_.queue, service_, *displaced);
    if (const auto found = node_.waiting.find(*displaced); found != node_.waiting.end()) {
        found->second->signal();
    }
    return policy::add_waiting(node_.queue, settings, service_, entry);
}

std::optional<state::upstream_entry> forward_run::wait_in_queue() {
    const policy::relay_queue_settings settings;
    const auto service = service_;
    const auto entry = queue_entry();
    if (is_restricted_until(entry.serve_until) || !enter_queue(entry)) {
        return std::nullopt;
    }
    const auto began = boot_now();
    const auto signal = std::make_shared<adapters::wakeup>(exchange_.yield().get_executor());
    node_.waiting[id_] = signal;
    report_queue(service);
    std::optional<state::upstream_entry> found;
    bool was_next = false;
    while (!exchange_.disconnected() && !ended_by_stop_) {
        if (!policy::is_waiting(node_.queue, service, id_)) {
            refusal_ = "displaced";
            break;
        }
        const bool next = policy::next_waiting(node_.queue, settings, service, boot_now()) == id_;
        if (next && (found = find_capacity())) {
            break;
        }
        if (next && is_restricted_until(entry.serve_until)) {
            break;
        }
        if (policy::is_hopeless(node_.queue, settings, service, entry, boot_now())) {
            refusal_ = "hopeless";
            break;
        }
        if (was_next && !next) {
            wake_next(node_, service);
        }
        was_next = next;
        const bool poll = next || policy::waiting_count(node_.queue, service) < long_queue;
        const auto pause = std::min<core::nanoseconds>(poll ? queue_poll_interval : queue_check_interval,
                                                       entry.serve_until - boot_now());
        signal->wait_until(std::chrono::steady_clock::now() + pause, exchange_.yield());
    }
    const auto waited = boot_now() - began;
    queued_ms_ += core::to_ms(waited).count();
    node_.metrics.observe("relay_queue_wait_seconds", {{"rank", std::to_string(rank_)}}, waited);
    node_.waiting.erase(id_);
    if (found) {
        policy::start_waiting(node_.queue, settings, service, id_, boot_now());
    } else {
        policy::remove_waiting(node_.queue, service, id_);
    }
    report_queue(service);
    wake_next(node_, service);
    return found;
}

request_regions forward_run::regions() const {
    return {route_.regions, account_regions_};
}

// A request that no upstream may take in time is refused at once, so that its caller can still use the time.
bool forward_run::is_restricted_until(core::steady_time end) {
    restriction_ = service_restriction(node_, service_, regions());
    if (restriction_ && restriction_->until <= end) {
        restriction_.reset();
    }
    return restriction_.has_value();
}

void forward_run::report_queue(const std::string& service) {
    node_.metrics.set("relay_queue_waiting", {{"service", service}, {"rank", std::to_string(rank_)}},
                      double(policy::waiting_count(node_.queue, service, rank_)));
}

std::optional<state::upstream_entry> forward_run::find_upstream(const std::string& id) const {
    const auto found = node_.registry.upstreams.find(id);
    return found == node_.registry.upstreams.end() ? std::nullopt : std::make_optional(found->second.entry);
}

// Tokens of the last segment of the prompt. No other request shares it, so its prefill is never cached.
double forward_run::unshared_tokens() const {
    return request_.prompt.empty() ? double(prompt_tokens()) : double(request_.prompt.back().tokens);
}

std::int64_t forward_run::prompt_tokens() const {
    std::int64_t parts = 0;
    for (const auto& part : request_.prompt) {
        parts += part.tokens;
    }
    return std::max(parts, request_.prompt_tokens);
}

std::int64_t forward_run::estimated_tokens() const {
    return policy::reserved_tokens(prompt_tokens(), request_.expected_tokens.value_or(request_.max_tokens));
}

} // namespace figspoke::relay
