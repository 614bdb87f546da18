#include "state/journal_writer.h"

#include <algorithm>
#include <utility>

#include "state/journal_batch.h"
#include "state/journal_settlement.h"

namespace figspoke::state {
namespace {

using core::steady_time;

writer_action start_call(journal_writer& writer, writer_call call) {
    writer.pending_call = call;
    writer_action action;
    action.call = call;
    return action;
}

writer_action wait_until(std::optional<steady_time> until) {
    writer_action action;
    action.until = until;
    return action;
}

writer_action start_write(journal_writer& writer, steady_time now) {
    writer.last_write_at = now;
    writer_action action = start_call(writer, writer_call::write_shard);
    action.text = writer.attempt->text;
    action.expected_version = writer.attempt->expected_version;
    return action;
}

bool is_sealing_due(const journal_writer& writer) {
    const auto& settings = writer.settings;
    const std::size_t open_charges = writer.value.charges.size();
    // Without early sealing, a value full of orders would refuse charges before their number reaches
    // `seal_above`.
    const bool near_size_limit = writer.value_bytes > settings.limits.claim_bytes;
    return open_charges > settings.seal_above || (near_size_limit && open_charges > settings.seal_above / 10);
}

// Pages are built only from a written value, since the charges of a batch in progress may turn out not to be
// recorded.
std::optional<writer_action> next_seal_action(journal_writer& writer) {
    if (writer.sealed_page || writer.release_pending) {
        return std::nullopt;
    }
    if (!writer.pending_page && is_sealing_due(writer)) {
        writer.pending_page =
            make_ledger_page(writer.settings.shard, writer.value, writer.settings.max_page_charges);
    }
    if (!writer.pending_page) {
        return std::nullopt;
    }
    writer_action action =
        start_call(writer, writer.must_read_page ? writer_call::read_page : writer_call::create_page);
    action.page = writer.pending_page->page;
    if (action.call == writer_call::create_page) {
        action.text = encode_ledger_page(*writer.pending_page);
    }
    return action;
}

std::optional<steady_time> flush_time(const journal_writer& writer, steady_time now) {
    std::optional<steady_time> at = writer.flush_at;
    if (writer.sealed_page || writer.waiting.size() >= writer.settings.max_batch) {
        at = now;
    }
    if (at && writer.last_write_at) {
        at = std::max(*at, *writer.last_write_at + writer.settings.min_write_interval);
    }
    return at;
}

writer_action next_owner_action(journal_writer& writer, steady_time now) {
    if (auto sealing = next_seal_action(writer)) {
        return *std::move(sealing);
    }
    while (true) {
        const auto at = flush_time(writer, now);
        if (!at || *at > now) {
            return wait_until(at);
        }
        if (build_batch(writer, false, now)) {
            return start_write(writer, now);
        }
    }
}

void handle_page_value(journal_writer& writer, const std::optional<std::string>& text) {
    writer.must_read_page = false;
    if (!text) {
        return;
    }
    auto decoded = decode_ledger_page(*text);
    if (decoded && decoded->page == writer.pending_page->page && decoded->shard == writer.settings.shard) {
        writer.sealed_page = *std::move(decoded);
    } else {
        // The key does not hold this shard's page: skip its number and leave the charges open.
        writer.sealed_page = ledger_page{writer.settings.shard, writer.pending_page->page, {}};
    }
    writer.pending_page.reset();
}

} // namespace

journal_writer make_journal_writer(writer_settings settings,
                                   std::function<bool(std::string_view incarnation)> has_ended) {
    journal_writer writer;
    writer.settings = std::move(settings);
    writer.has_ended = std::move(has_ended);
    return writer;
}

void acquire_shard(journal_writer& writer) {
    if (writer.phase != writer_phase::idle) {
        return;
    }
    writer.phase = writer_phase::taking_over;
    writer.must_read = true;
    writer.observed_epoch.reset();
    writer.error.clear();
}

void release_shard(journal_writer& writer) {
    if (writer.attempt) {
        writer.release_pending = true;
    } else if (writer.phase != writer_phase::idle) {
        const journal_shard* known = writer.must_read ? nullptr : &writer.value;
        relinquish_shard(writer, entry_disposition::unknown, known);
    }
}

submit_result submit_entry(journal_writer& writer, std::uint64_t ticket, journal_entry entry,
                           steady_time now) {
    if (writer.phase == writer_phase::idle || writer.release_pending) {
        return submit_result::not_owner;
    }
    if (writer.waiting.size() >= writer.settings.max_waiting) {
        return submit_result::full;
    }
    const bool is_charge = std::holds_alternative<charge>(entry);
    const steady_time due = is_charge ? now + writer.settings.charge_delay : now;
    writer.flush_at = writer.flush_at ? std::min(*writer.flush_at, due) : due;
    writer.waiting.push_back({ticket, std::move(entry), now});
    return submit_result::accepted;
}

bool withdraw_entry(journal_writer& writer, std::uint64_t ticket) {
    const auto found = std::find_if(writer.waiting.begin(), writer.waiting.end(),
                                    [&](const waiting_entry& waiting) { return waiting.ticket == ticket; });
    if (found == writer.waiting.end()) {
        return false;
    }
    writer.waiting.erase(found);
    update_flush_time(writer);
    return true;
}

writer_action next_action(journal_writer& writer, steady_time now) {
    if (writer.pending_call != writer_call::wait || writer.phase == writer_phase::idle) {
        return wait_until(std::nullopt);
    }
    if (writer.retry_at && now < *writer.retry_at) {
        return wait_until(writer.retry_at);
    }
    if (writer.must_read) {
        return start_call(writer, writer_call::read_shard);
    }
    if (writer.attempt) {
        return start_write(writer, now);
    }
    if (writer.release_pending) {
        release_shard(writer);
        return wait_until(std::nullopt);
    }
    if (writer.phase == writer_phase::taking_over) {
        build_batch(writer, true, now);
        return start_write(writer, now);
    }
    return next_owner_action(writer, now);
}

void on_written(journal_writer& writer, std::uint64_t version, steady_time now) {
    (void)now;
    const writer_call call = std::exchange(writer.pending_call, writer_call::wait);
    writer.backoff = core::milliseconds(0);
    writer.retry_at.reset();
    if (call == writer_call::write_shard && writer.attempt) {
        commit_batch(writer, version);
    } else if (call == writer_call::create_page && writer.pending_page) {
        writer.sealed_page = std::exchange(writer.pending_page, std::nullopt);
    }
}

void on_conflict(journal_writer& writer, steady_time now) {
    (void)now;
    const writer_call call = std::exchange(writer.pending_call, writer_call::wait);
    if (call == writer_call::write_shard && writer.attempt) {
        // A conflict does not prove that the batch was not written: an earlier copy of it may have been.
        writer.must_read = true;
    } else if (call == writer_call::create_page && writer.pending_page) {
        writer.must_read_page = true;
    }
}

void on_reply_lost(journal_writer& writer, steady_time now) {
    const auto& settings = writer.settings;
    writer.backoff = std::clamp(writer.backoff * 2, settings.first_retry, settings.max_retry);
    writer.retry_at = now + writer.backoff;
    on_conflict(writer, now);
}

void on_value(journal_writer& writer, const std::optional<std::string>& text, std::uint64_t version,
              steady_time now) {
    const writer_call call = std::exchange(writer.pending_call, writer_call::wait);
    writer.retry_at.reset();
    if (call == writer_call::read_page && writer.pending_page) {
        handle_page_value(writer, text);
    }
    if (call != writer_call::read_shard || writer.phase == writer_phase::idle) {
        return;
    }
    writer.must_read = false;
    auto decoded = text ? decode_shard(*text) : core::result<journal_shard>(journal_shard{});
    if (!decoded) {
        writer.error = decoded.error().message;
        relinquish_shard(writer, entry_disposition::unknown, nullptr);
        return;
    }
    handle_shard_value(writer, *std::move(decoded), version, now);
}

std::vector<finished_entry> take_finished(journal_writer& writer) {
    return std::exchange(writer.finished_entries, {});
}

} // namespace figspoke::state
