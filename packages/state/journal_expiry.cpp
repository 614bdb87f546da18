#include "state/journal_expiry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/erase_where.h"
#include "state/shard_size.h"

namespace figspoke::state {
namespace {

using std::chrono::milliseconds;

bool has_ended(const expiry_rules& rules, const std::string& incarnation) {
    return rules.has_ended && rules.has_ended(incarnation);
}

void mark_orphaned_orders(journal_shard& shard, const expiry_rules& rules) {
    for (auto& [id, record] : shard.orders) {
        if (record.state == order_state::claimed && has_ended(rules, record.claimant)) {
            record.state = order_state::unknown;
            record.changed_at = shard.clock;
        }
    }
}

void remove_expired(journal_shard& shard, const expiry_rules& rules) {
    const milliseconds cutoff = shard.clock - rules.window;
    core::erase_where(shard.orders, [&](const order_record& record, const std::string&) {
        return record.state != order_state::claimed && record.changed_at <= cutoff;
    });
    core::erase_where(shard.charged_keys, [&](milliseconds at, const std::string&) { return at <= cutoff; });
    // The progress of a writer that may still be alive is kept however long the writer was idle: without it,
    // a late repeat of a charge would be recorded again.
    core::erase_where(shard.writers, [&](const writer_progress& progress, const std::string& writer) {
        return progress.changed_at <= cutoff && has_ended(rules, writer);
    });
}

void limit_charged_keys(journal_shard& shard, std::size_t limit) {
    if (shard.charged_keys.size() <= limit) {
        return;
    }
    std::vector<milliseconds> charge_times;
    charge_times.reserve(shard.charged_keys.size());
    for (const auto& [id, at] : shard.charged_keys) {
        charge_times.push_back(at);
    }
    std::size_t excess = charge_times.size() - limit;
    std::nth_element(charge_times.begin(), charge_times.begin() + static_cast<std::ptrdiff_t>(excess - 1),
                     charge_times.end());
    const milliseconds newest_removed = charge_times[excess - 1];
    core::erase_where(shard.charged_keys, [&](milliseconds at, const std::string&) {
        return at <= newest_removed && excess > 0 && excess-- > 0;
    });
}

// Drops answers until the shard is at half of `claim_bytes`, so that the rest is free for new records.
void drop_oldest_answers(journal_shard& shard, const shard_limits& limits) {
    std::size_t bytes = estimate_bytes(shard);
    if (bytes <= limits.claim_bytes) {
        return;
    }
    std::vector<std::pair<milliseconds, order_record*>> answers;
    for (auto& [id, record] : shard.orders) {
        if (record.state == order_state::completed && !record.body.empty()) {
            answers.emplace_back(record.changed_at, &record);
        }
    }
    std::sort(answers.begin(), answers.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [at, record] : answers) {
        if (bytes <= limits.claim_bytes / 2) {
            break;
        }
        bytes -= encoded_size(record->body) - 2;
        record->body.clear();
        record->body_dropped = true;
    }
}

} // namespace

void advance_shard_clock(journal_shard& shard, milliseconds elapsed) {
    shard.clock += std::max(elapsed, milliseconds(0));
}

void expire_records(journal_shard& shard, const expiry_rules& rules) {
    mark_orphaned_orders(shard, rules);
    remove_expired(shard, rules);
    limit_charged_keys(shard, rules.limits.max_charged_keys);
    drop_oldest_answers(shard, rules.limits);
}

} // namespace figspoke::state
