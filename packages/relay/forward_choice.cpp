#include "relay/forward_run.h"

#include <algorithm>

#include "core/hash.h"
#include "policy/rollout_plan.h"
#include "policy/session_pins.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// Interval at which a queued request looks for capacity when no event wakes it.
constexpr core::milliseconds queue_poll_interval{25};
// Maximum wait for capacity, as a fraction of the latency target.
constexpr double max_stream_wait_fraction = 0.6;
constexpr double max_plain_wait_fraction = 1.0;
// Callers abandon a stream after a pause of two seconds or more.
constexpr core::milliseconds max_stream_gap{2000};

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

// Upstreams that the request was sent to are used again only where all others were tried, excluded ones
// never.
policy::relay_choice forward_run::choose_upstream(const std::vector<std::string>& excluded,
                                                  const boost::asio::yield_context& yield) {
    policy::placement_request placement;
    placement.prefix = prefix_key(shared_segments());
    placement.failure_domain = node_.settings.failure_domain;
    placement.first = draw(node_);
    placement.second = draw(node_);
    placement.tried = excluded;
    for (const auto& send : history_.sends) {
        placement.tried.push_back(send.upstream);
    }
    const bool target = wants_target_version();
    const auto settings = choice_settings(node_, service_);
    const auto choose_for = [&](const upstream_requirements& requirements) {
        return policy::choose_relay_upstream(relay_candidates(node_, requirements, placement, yield),
                                             settings, placement);
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
        placement.tried = excluded;
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
    if (policy::waiting_count(node_.queue, service_) == 0) {
        choice_ = choose_upstream({}, exchange_.yield());
        if (!choice_.id.empty()) {
            return find_upstream(choice_.id);
        }
    }
    return wait_in_queue();
}

policy::repeat_budget_settings forward_run::budget_settings() const {
    return {node_.settings.bounds.repeat_ratio, node_.settings.bounds.repeat_slack,
            node_.settings.bounds.repeat_window};
}

std::optional<state::upstream_entry> forward_run::wait_in_queue() {
    // An interrupted stream can't be rejected any more, so its wait starts now and lasts until callers
    // abandon the stream.
    const auto queue_deadline =
        std::min(deadline_, answer_started_ ? boot_now() + max_stream_gap : arrived_ + max_queue_wait());
    if (is_restricted_until(queue_deadline)) {
        return std::nullopt;
    }
    const auto service = service_;
    const policy::queued_request waiting{id_, rank_, arrived_, route_.latency_target};
    if (boot_now() >= queue_deadline || !policy::add_waiting(node_.queue, {}, service, waiting)) {
        return std::nullopt;
    }
    const auto signal = std::make_shared<adapters::wakeup>(exchange_.yield().get_executor());
    node_.waiting[id_] = signal;
    std::optional<state::upstream_entry> found;
    while (!found && !exchange_.disconnected() && !ended_by_stop_ && boot_now() < queue_deadline) {
        if (policy::next_waiting(node_.queue, {}, service, boot_now()) == id_) {
            choice_ = choose_upstream({}, exchange_.yield());
            if (!choice_.id.empty()) {
                found = find_upstream(choice_.id);
                break;
            }
            if (is_restricted_until(queue_deadline)) {
                break;
            }
        }
        const auto left = std::min<core::nanoseconds>(queue_poll_interval, queue_deadline - boot_now());
        signal->wait_until(std::chrono::steady_clock::now() + left, exchange_.yield());
    }
    queued_ms_ += core::to_ms(boot_now() - arrived_).count();
    node_.waiting.erase(id_);
    policy::remove_waiting(node_.queue, service, id_);
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

core::milliseconds forward_run::max_queue_wait() const {
    const double fraction = route_.streaming ? max_stream_wait_fraction : max_plain_wait_fraction;
    return core::milliseconds(std::int64_t(fraction * double(route_.latency_target.count())));
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
