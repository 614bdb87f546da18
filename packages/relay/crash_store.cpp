#include "relay/crash_store.h"

#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "relay/boot_clock.h"
#include "relay/crash_records.h"

namespace figspoke::relay {
namespace {

constexpr core::milliseconds check_interval{200};
constexpr core::milliseconds min_retry_delay{250};
constexpr core::milliseconds max_retry_delay{8000};
// The first member writes; the next ones follow in case it has died, and find it written otherwise.
constexpr std::size_t writers = 3;
constexpr core::milliseconds delay_per_rank{600};

std::optional<stored_crashes> read_and_merge(relay_state& node, const boost::asio::yield_context& yield) {
    auto stored = node.platform.read_crashes(yield);
    if (!stored) {
        node.log.state("stored_crashes_unread", {{"cause", stored.error().message}});
        return std::nullopt;
    }
    merge_crash_records(node.crashes, stored->records, boot_now());
    close_refused_sends(node);
    return std::move(*stored);
}

// Returns whether the store now holds the refused fingerprints, and no others.
bool write_refused(relay_state& node, const boost::asio::yield_context& yield,
                   std::optional<std::set<std::uint64_t>>& stored_fingerprints) {
    auto stored = read_and_merge(node, yield);
    if (!stored) {
        return false;
    }
    stored_fingerprints = fingerprints_of(stored->records);
    // What the store held is part of the ledger by now, unless it has expired.
    stored->records = refused_crash_records(node.crashes, boot_now());
    const auto refused = fingerprints_of(stored->records);
    if (stored_fingerprints == refused) {
        return true;
    }
    const auto written = node.platform.write_crashes(*stored, yield);
    node.log.state("crashes_stored",
                   {{"fingerprints", refused.size()}, {"cause", written ? "" : written.error().message}});
    if (written) {
        stored_fingerprints = refused;
    }
    return written.has_value();
}

} // namespace

std::vector<crash_record> refused_crash_records(const policy::crash_ledger& ledger, core::steady_time now) {
    std::vector<crash_record> records;
    for (const auto cause : policy::likely_causes(ledger, {}, max_stored_fingerprints)) {
        for (const auto& crash : ledger.crashes.at(cause)) {
            records.push_back({cause, crash.upstream, core::to_ms(now - crash.at)});
        }
    }
    return records;
}

std::set<std::uint64_t> fingerprints_of(const std::vector<crash_record>& records) {
    std::set<std::uint64_t> fingerprints;
    for (const auto& record : records) {
        fingerprints.insert(record.fingerprint);
    }
    return fingerprints;
}

void run_crash_store_loop(relay_state& node, const boost::asio::yield_context& yield) {
    // Empty as long as this node doesn't know what the store holds.
    std::optional<std::set<std::uint64_t>> stored;
    state::store_era stored_in;
    auto retry = min_retry_delay;
    const auto wait_to_retry = [&] {
        adapters::sleep_for(retry + core::milliseconds(std::int64_t(double(retry.count()) * draw(node))),
                            yield);
        retry = std::min(retry * 2, max_retry_delay);
    };
    while (!node.stopped) {
        if (const auto read = read_and_merge(node, yield)) {
            stored = fingerprints_of(read->records);
            stored_in = node.platform.store->known.era;
            break;
        }
        wait_to_retry();
    }
    retry = min_retry_delay;
    std::optional<core::steady_time> differing_since;
    std::set<std::uint64_t> refused;
    std::optional<std::uint64_t> seen_changes;
    while (!node.stopped) {
        adapters::sleep_for(check_interval, yield);
        if (seen_changes != node.crashes.changes) {
            seen_changes = node.crashes.changes;
            refused = fingerprints_of(refused_crash_records(node.crashes, boot_now()));
        }
        if (const auto era = node.platform.store->known.era; stored_in != era) {
            // What the store came back with may be older than what it held.
            stored_in = era;
            stored.reset();
        }
        const auto rank = node.peers->rank();
        if (stored == refused || rank >= writers) {
            differing_since.reset();
            continue;
        }
        differing_since = differing_since.value_or(boot_now());
        if (boot_now() - *differing_since < delay_per_rank * int(rank)) {
            continue;
        }
        if (write_refused(node, yield, stored)) {
            retry = min_retry_delay;
        } else {
            wait_to_retry();
        }
    }
}

} // namespace figspoke::relay
