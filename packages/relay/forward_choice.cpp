#include "relay/forward_run.h"

#include <algorithm>

#include "core/hash.h"
#include "policy/rollout_plan.h"
#include "policy/session_pins.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// How often a waiting request looks for room by itself, beside being woken.
constexpr core::milliseconds queue_tick{25};
// Parts of the latency target for which a request may wait for room.
constexpr double stream_wait_part = 0.6;
constexpr double plain_wait_part = 1.0;
// Callers leave a stream after a pause of two seconds or more.
constexpr core::milliseconds longest_gap{2000};

} // namespace

// The parts of a prompt that other requests may share: all but the last.
std::vector<policy::prompt_step> forward_run::shared_steps() const {
    std::vector<policy::prompt_step> steps;
    std::string text = model_;
    for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i) {
        text += '/' + request_.prompt[i].id;
        steps.push_back({core::stable_hash(text), request_.prompt[i].tokens});
    }
    return steps;
}

upstream_need forward_run::need_of(bool target_version) const {
    upstream_need need;
    need.service = service_;
    need.model = model_;
    need.tokens = own_tokens();
    need.shared = shared_steps();
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
upstream_need forward_run::any_version_need() const {
    auto need = need_of(false);
    const auto found = node_.rollouts.find(service_);
    if (found != node_.rollouts.end() && !found->second.stopped) {
        need.avoided_version.clear();
    }
    return need;
}

// A conversation has a fixed place in each roll-out; a request without one is placed by chance.
void forward_run::place_session() {
    session_ = request_.session.empty() ? 0 : core::stable_hash(service_ + '/' + request_.session);
    session_place_ = session_ == 0 ? draw(node_) : policy::session_place(session_);
}

bool forward_run::wants_target_version() const {
    const auto found = node_.rollouts.find(service_);
    if (found == node_.rollouts.end() || found->second.stopped) {
        return false;
    }
    const policy::rollout_clock clock{boot_now() - found->second.began, found->second.order.duration};
    if (target_failed_ && policy::repeat_leaves_target(clock, found->second.verdict, {})) {
        return false;
    }
    const policy::rollout_side side{session_place_, found->second.share, policy::in_trial(clock, {}),
                                    node_.settings.bounds.session};
    return policy::takes_target(node_.sessions, session_, side, boot_now());
}

// Only conversations that a trial would move need to be known to the peers.
void forward_run::note_session(const state::upstream_entry& entry) {
    const auto trial = policy::trial_share(node_.settings.bounds.exposure_share, {});
    if (session_ == 0 || session_place_ >= trial) {
        return;
    }
    const auto found = node_.rollouts.find(entry.service);
    const bool on_target = found != node_.rollouts.end() && found->second.order.target == entry.version;
    policy::note_session(node_.sessions, session_, on_target, boot_now());
}

// A prompt without shared parts has an owner as well: any fixed one will do.
std::uint64_t forward_run::prefix_of(const std::vector<policy::prompt_step>& shared) const {
    if (prompt_tokens() <= 0) {
        return 0;
    }
    return shared.empty() ? id_ : shared.back().chain;
}

policy::relay_choice forward_run::choose() {
    policy::relay_wish wish;
    wish.prefix = prefix_of(shared_steps());
    wish.failure_domain = node_.settings.failure_domain;
    wish.first = draw(node_);
    wish.second = draw(node_);
    for (const auto& send : history_.sends) {
        wish.tried.push_back(send.upstream);
    }
    const bool target = wants_target_version();
    const auto settings = choice_settings(node_, service_);
    const auto choose_for = [&](const upstream_need& need) {
        return policy::choose_relay_upstream(relay_candidates(node_, need, wish, exchange_.yield()), settings,
                                             wish);
    };
    auto choice = choose_for(need_of(target));
    if (choice.reason == policy::relay_reason::none && target) {
        choice = choose_for(need_of(false));
    }
    if (choice.reason == policy::relay_reason::none && wish.tried.empty()) {
        choice = choose_for(any_version_need());
    }
    if (choice.reason == policy::relay_reason::none && !wish.tried.empty()) {
        // Every upstream was tried; one that refused or was not reached may be asked again.
        wish.tried.clear();
        choice = choose_for(need_of(target));
    }
    return choice;
}

std::optional<state::upstream_entry> forward_run::wait_for_upstream() {
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

policy::repeat_budget_settings forward_run::budget_settings() const {
    return {node_.settings.bounds.repeat_ratio, node_.settings.bounds.repeat_slack,
            node_.settings.bounds.repeat_window};
}

std::optional<state::upstream_entry> forward_run::wait_in_queue() {
    // A stream that broke off can't be refused any more: it waits from now on, for as long as callers do.
    const auto give_up = std::min(deadline_, begun_ ? boot_now() + longest_gap : arrived_ + longest_wait());
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

core::milliseconds forward_run::longest_wait() const {
    const double part = route_.streaming ? stream_wait_part : plain_wait_part;
    return core::milliseconds(std::int64_t(part * double(route_.latency_target.count())));
}

std::optional<state::upstream_entry> forward_run::entry_of(const std::string& id) const {
    const auto found = node_.registry.upstreams.find(id);
    return found == node_.registry.upstreams.end() ? std::nullopt : std::make_optional(found->second.entry);
}

// The part of the prompt that no other request shares, so that it is surely read.
double forward_run::own_part() const {
    return request_.prompt.empty() ? double(prompt_tokens()) : double(request_.prompt.back().tokens);
}

std::int64_t forward_run::prompt_tokens() const {
    std::int64_t parts = 0;
    for (const auto& part : request_.prompt) {
        parts += part.tokens;
    }
    return std::max(parts, request_.prompt_tokens);
}

std::int64_t forward_run::own_tokens() const {
    const auto out = request_.expected_tokens.value_or(request_.max_tokens);
    return prompt_tokens() + out;
}

} // namespace figspoke::relay
