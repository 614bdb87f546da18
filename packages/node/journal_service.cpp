#include "node/journal_service.h"

#include <optional>
#include <utility>

#include "adapters/await.h"
#include "adapters/decision_log.h"

namespace figspoke::node {
namespace {

using adapters::kv_error_kind;
using state::writer_action;
using state::writer_call;
using clock = std::chrono::steady_clock;

// The writer asks again at least this often, so that a change of membership is noticed while it is idle.
constexpr std::chrono::milliseconds longest_wait{500};

using notification = std::pair<append_callback, append_outcome>;

std::vector<notification> take_notifications(shard_slot& slot) {
    std::vector<notification> due;
    for (auto& settled : state::take_finished(slot.writer)) {
        const auto found = slot.waiting.find(settled.ticket);
        if (found != slot.waiting.end()) {
            due.emplace_back(std::move(found->second.callback),
                             append_outcome{settled.disposition, std::move(settled.result)});
            slot.waiting.erase(found);
        }
    }
    return due;
}

void notify(const std::vector<notification>& due) {
    for (const auto& [callback, outcome] : due) {
        callback(outcome);
    }
}

template <class Change>
auto change_writer(shard_slot& slot, Change change) {
    std::vector<notification> due;
    {
        const std::lock_guard lock(slot.mutex);
        change(slot.writer, clock::now());
        due = take_notifications(slot);
    }
    notify(due);
}

void give_up_entry(shard_slot& slot, std::uint64_t ticket) {
    append_callback callback;
    {
        const std::lock_guard lock(slot.mutex);
        const auto found = slot.waiting.find(ticket);
        if (found == slot.waiting.end()) {
            return;
        }
        callback = std::move(found->second.callback);
        slot.waiting.erase(found);
        state::withdraw_entry(slot.writer, ticket);
    }
    append_outcome outcome;
    outcome.disposition = state::entry_disposition::unknown;
    callback(std::move(outcome));
}

// During an outage of the key-value service no entry settles. Without this bound an order would wait for the
// end of the outage instead of being refused, and would then run although its caller may have left.
std::unique_ptr<boost::asio::steady_timer> start_patience(shard_slot& slot, std::uint64_t ticket,
                                                          std::chrono::milliseconds timeout) {
    auto timer = std::make_unique<boost::asio::steady_timer>(slot.executor, timeout);
    timer->async_wait([&slot, ticket](const boost::system::error_code& code) {
        if (!code) {
            give_up_entry(slot, ticket);
        }
    });
    return timer;
}

// Takes over the callback unless the entry is refused, which the returned outcome tells.
std::optional<append_outcome> submit_local(shard_slot& slot, state::journal_entry entry,
                                           std::chrono::milliseconds timeout, append_callback& callback) {
    const std::lock_guard lock(slot.mutex);
    const std::uint64_t ticket = slot.next_ticket++;
    const auto submitted = state::submit_entry(slot.writer, ticket, std::move(entry), clock::now());
    if (submitted == state::submit_result::accepted) {
        auto timer = start_patience(slot, ticket, timeout);
        slot.waiting.emplace(ticket, waiting_append{std::move(callback), std::move(timer)});
        return std::nullopt;
    }
    append_outcome refused;
    if (submitted == state::submit_result::full) {
        refused.disposition = state::entry_disposition::settled;
        refused.result.outcome = state::entry_outcome::backlog_full;
    }
    return refused;
}

std::string shard_key(const state::writer_settings& settings) {
    return "figspoke/journal/" + std::to_string(settings.shard);
}

std::string page_key(const state::writer_settings& settings, std::uint64_t page) {
    return "figspoke/ledger/" + std::to_string(settings.shard) + "/" + std::to_string(page);
}

void read_value(shard_slot& slot, const adapters::kv_store& kv, const std::string& key,
                const boost::asio::yield_context& yield) {
    const auto answer = kv.get(key, yield);
    change_writer(slot, [&](state::journal_writer& writer, core::steady_time now) {
        if (answer) {
            state::on_value(writer, answer->text, answer->version, now);
        } else if (answer.error().kind == kv_error_kind::not_found) {
            state::on_value(writer, std::nullopt, 0, now);
        } else {
            state::on_reply_lost(writer, now);
        }
    });
}

// A connection that could not be opened is treated as a lost reply too: the writer reads before it goes on.
void write_value(shard_slot& slot, const adapters::kv_store& kv, const std::string& key,
                 const writer_action& action, std::uint64_t expected_version,
                 const boost::asio::yield_context& yield) {
    const auto answer = kv.compare_and_swap(key, action.text, expected_version, "", yield);
    change_writer(slot, [&](state::journal_writer& writer, core::steady_time now) {
        if (answer) {
            state::on_written(writer, *answer, now);
        } else if (answer.error().kind == kv_error_kind::conflict) {
            state::on_conflict(writer, now);
        } else {
            state::on_reply_lost(writer, now);
        }
    });
}

void perform(shard_slot& slot, const adapters::kv_store& kv, const writer_action& action,
             const boost::asio::yield_context& yield) {
    const auto& settings = slot.writer.settings;
    switch (action.call) {
    case writer_call::read_shard:
        return read_value(slot, kv, shard_key(settings), yield);
    case writer_call::write_shard:
        return write_value(slot, kv, shard_key(settings), action, action.expected_version, yield);
    case writer_call::read_page:
        return read_value(slot, kv, page_key(settings, action.page), yield);
    case writer_call::create_page:
        return write_value(slot, kv, page_key(settings, action.page), action, 0, yield);
    case writer_call::wait:
        break;
    }
    const auto latest = clock::now() + longest_wait;
    slot.wake.wait_until(action.until ? std::min(*action.until, latest) : latest, yield);
}

void drive_shard(shard_slot& slot, const adapters::kv_store& kv, const boost::asio::yield_context& yield) {
    for (;;) {
        writer_action action;
        change_writer(slot, [&](state::journal_writer& writer, core::steady_time now) {
            action = state::next_action(writer, now);
        });
        perform(slot, kv, action, yield);
    }
}

state::journal_writer make_writer(const journal_service& journal, const core::journal_section& settings,
                                  const std::string& incarnation, std::uint32_t shard) {
    state::writer_settings options;
    options.shard = shard;
    options.owner = incarnation;
    options.limits.max_open_entries = static_cast<std::size_t>(settings.backlog_limit);
    options.seal_above = std::min(options.seal_above, options.limits.max_open_entries / 2);
    options.idempotency_window = settings.idempotency_window;
    options.charge_delay = settings.charge_flush;
    return state::make_journal_writer(options, journal.is_gone);
}

std::size_t count_phase(journal_service& journal, bool (*counts)(state::writer_phase)) {
    std::size_t count = 0;
    for (const auto& slot : journal.shards) {
        const std::lock_guard lock(slot->mutex);
        count += counts(slot->writer.phase) ? 1 : 0;
    }
    return count;
}

} // namespace

void start_journal(journal_service& journal, boost::asio::io_context& context, const adapters::kv_store& kv,
                   const core::journal_section& settings, const std::string& incarnation) {
    for (std::uint32_t shard = 0; shard < static_cast<std::uint32_t>(settings.shards); ++shard) {
        journal.shards.push_back(std::make_unique<shard_slot>(
            context.get_executor(), make_writer(journal, settings, incarnation, shard)));
        auto& slot = *journal.shards.back();
        adapters::spawn_coroutine(
            context, [&slot, &kv](const boost::asio::yield_context& yield) { drive_shard(slot, kv, yield); });
    }
}

void set_owned_shards(journal_service& journal, const std::set<std::uint32_t>& owned) {
    for (std::uint32_t shard = 0; shard < journal.shards.size(); ++shard) {
        auto& slot = *journal.shards[shard];
        const bool wanted = owned.count(shard) > 0;
        change_writer(slot, [&](state::journal_writer& writer, core::steady_time) {
            if (wanted && writer.phase == state::writer_phase::idle) {
                state::acquire_shard(writer);
            } else if (!wanted && writer.phase != state::writer_phase::idle) {
                state::release_shard(writer);
            }
        });
        slot.wake.signal();
    }
}

void append_local(journal_service& journal, std::uint32_t shard, state::journal_entry entry,
                  std::chrono::milliseconds timeout, append_callback callback) {
    auto& slot = *journal.shards.at(shard);
    if (auto refused = submit_local(slot, std::move(entry), timeout, callback)) {
        callback(std::move(*refused));
    } else {
        slot.wake.signal();
    }
}

std::size_t owned_shard_count(journal_service& journal) {
    return count_phase(journal, [](state::writer_phase phase) { return phase != state::writer_phase::idle; });
}

std::size_t held_shard_count(journal_service& journal) {
    return count_phase(journal,
                       [](state::writer_phase phase) { return phase == state::writer_phase::owner; });
}

} // namespace figspoke::node
