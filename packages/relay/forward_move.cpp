#include "relay/forward_run.h"

#include <algorithm>
#include <chrono>

#include <boost/asio/spawn.hpp>

#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

constexpr core::milliseconds search_end_poll{1000};
// In a large fleet a search asks other nodes.
constexpr core::milliseconds search_pause{200};

} // namespace

// The search runs beside the send, whose answer is passed on if it arrives meanwhile.
void forward_run::on_stall(const state::upstream_entry& entry, const stall& found) {
    if (search_ || replacement_ || boot_now() < next_search_) {
        return;
    }
    next_search_ = boot_now() + search_pause;
    search_ = replacement_search{entry, node_.waiting_sends.at(id_).since, found, nullptr, false};
    if (const auto verdict = judge_stalled_send(nullptr); verdict != policy::move_verdict::move) {
        keep_stalled_send(verdict);
        search_.reset();
        return;
    }
    boost::asio::spawn(
        node_.context, [this](const boost::asio::yield_context& yield) { search_replacement(yield); },
        [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
}

// The engine before must not work on the request any longer when the next one begins, so that its connection
// is closed in the step in which the continuation becomes certain. The request is sent in the next one.
void forward_run::search_replacement(const boost::asio::yield_context& yield) {
    auto found = find_replacement(yield);
    const policy::relay_choice none;
    const auto verdict = judge_stalled_send(found ? &found->choice : &none);
    if (verdict == policy::move_verdict::move) {
        log_stalled_send(route_.streaming ? "stream_given_up" : "request_moved", {{"to", found->entry.id}},
                         verdict);
        policy::take_repeat(node_.budgets[service_], budget_settings(), node_.peers->size(), boot_now());
        replacement_ = std::move(found);
        current_link_->close_as_timed_out();
    } else {
        keep_stalled_send(verdict);
        if (found) {
            release_unused_link(node_, found->entry.id, found->link);
        }
    }
    search_.reset();
    search_ended_.signal();
}

std::optional<forward_run::replacement>
forward_run::find_replacement(const boost::asio::yield_context& yield) {
    auto excluded = unreachable_;
    excluded.push_back(search_->stalled.id);
    const auto choice = choose_upstream(excluded, yield);
    const auto entry = choice.id.empty() ? std::nullopt : find_upstream(choice.id);
    if (!entry || search_->cancelled) {
        return std::nullopt;
    }
    auto opened = open_replacement(*entry, choice, search_->link, yield);
    if (!opened && !search_->cancelled) {
        unreachable_.push_back(entry->id);
        record_unreachable(*entry, opened.error().cause);
    }
    return opened ? std::make_optional(std::move(*opened)) : std::nullopt;
}

link_result<forward_run::replacement> forward_run::open_replacement(const state::upstream_entry& entry,
                                                                    const policy::relay_choice& choice,
                                                                    upstream_link_ptr& link,
                                                                    const boost::asio::yield_context& yield) {
    auto use = std::make_unique<use_guard>(node_, entry.id, service_,
                                           use_guard::work{estimated_tokens(), choice.own_prefill_ms, rank_});
    const auto opened = open_link(node_, entry, plan_connection(), link, yield);
    if (!opened) {
        return tl::make_unexpected(opened.error());
    }
    return replacement{entry, choice, link, std::move(use)};
}

// Returns whether the present configuration still leads the request to the same service.
bool forward_run::is_admitted() const {
    const auto found = look_up_route();
    return found && state::choose_service(found->route, service_draw_) == service_;
}

// Judges before the search, without a choice, whether it is worth while, and at its end whether the send is
// given up.
policy::move_verdict forward_run::judge_stalled_send(const policy::relay_choice* choice) const {
    const auto budget = node_.budgets.find(service_);
    policy::move_conditions conditions;
    conditions.stalled = is_still_stalled();
    conditions.repeatable = attempts_remain();
    conditions.admitted = is_admitted();
    conditions.crashes_upstreams = policy::is_refused(node_.crashes, {}, *fingerprints_);
    conditions.within_budget =
        budget != node_.budgets.end() &&
        policy::may_repeat(budget->second, budget_settings(), node_.peers->size(), boot_now());
    conditions.has_upstream = policy::waiting_count(node_.queue, service_) == 0 &&
                              (choice == nullptr || find_upstream(choice->id).has_value());
    conditions.time_left = time_left();
    if (choice != nullptr) {
        conditions.expected = core::milliseconds(std::int64_t(choice->pending_ms + choice->own_prefill_ms));
    }
    return policy::judge_move(conditions);
}

bool forward_run::is_still_stalled() const {
    const auto stream = node_.waiting_sends.find(id_);
    return !search_->cancelled && !exchange_.disconnected() && !ended_by_stop_ &&
           stream != node_.waiting_sends.end() && stream->second.since == search_->since &&
           !stream->second.link->has_unread_bytes();
}

// The stall speaks against the upstream as much as a send that is given up, and counts once for each send.
void forward_run::keep_stalled_send(policy::move_verdict verdict) {
    if (kept_for_ == verdict) {
        return;
    }
    kept_for_ = verdict;
    log_stalled_send("stalled_send_kept", {{"cause", policy::to_string(verdict)}}, verdict);
    if (verdict != policy::move_verdict::recovered && !stall_counted_) {
        stall_counted_ = true;
        record_upstream_event(node_, search_->stalled.id, policy::upstream_event::failed);
        record_bad_result(search_->stalled);
    }
}

void forward_run::log_stalled_send(const std::string& event, nlohmann::json line,
                                   policy::move_verdict verdict) {
    line["request"] = request_.request_id;
    line["upstream"] = search_->stalled.id;
    line["silence_ms"] = search_->found.silence.count();
    line["silent_to_all"] = search_->found.silent_to_all;
    node_.log.state(event, line);
    node_.metrics.add("relay_stalled_sends_total", {{"outcome", std::string(policy::to_string(verdict))}});
}

// The search refers to this run and to its send.
void forward_run::end_search() {
    if (search_) {
        search_->cancelled = true;
        if (search_->link) {
            search_->link->close();
        }
    }
    while (search_) {
        search_ended_.wait_until(std::chrono::steady_clock::now() + search_end_poll, exchange_.yield());
    }
}

} // namespace figspoke::relay
