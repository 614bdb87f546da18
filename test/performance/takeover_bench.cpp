// Measures how long a new owner takes from its first read of a shard until every entry of the backlog is
// recorded, with a key-value service in memory. The baseline writes one entry at a time.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/hash.h"
#include "state/journal_writer.h"

namespace {

using namespace figspoke;
using namespace figspoke::state;
using core::steady_time;

struct service {
    std::string text;
    std::uint64_t version = 0;
    std::map<std::uint64_t, std::string> pages;
};

journal_writer writer_of(const std::string& owner, std::size_t max_batch) {
    writer_settings settings;
    settings.owner = owner;
    settings.max_batch = max_batch;
    return make_journal_writer(settings, nullptr);
}

journal_entry charge_of(const std::string& writer, std::uint64_t sequence) {
    charge value;
    value.id = core::sha256_hex(writer + std::to_string(sequence)).substr(0, 32);
    value.account = "account-" + std::to_string(sequence % 10);
    value.version = "assistant-small@2026-11-02";
    value.prompt_tokens = 812;
    value.generated_tokens = 240;
    value.micros = 1834;
    value.internal_micros = 2100;
    value.writer = writer;
    value.sequence = sequence;
    return value;
}

std::string writer_name(std::uint64_t index) {
    return "10.0.0." + std::to_string(index % 6) + ":8080/4f2a91c0";
}

// One entry in twenty claims an order; the others are charges of six writers, without gaps.
journal_entry entry_of(std::uint64_t index) {
    if (index % 20 != 0) {
        const std::uint64_t charges_before = index - index / 20 - 1;
        return charge_of(writer_name(charges_before), charges_before / 6 + 1);
    }
    const std::string digest = core::sha256_hex(std::to_string(index));
    return order_claim{digest.substr(0, 32), "account-1", digest, digest.substr(32), writer_name(index)};
}

void perform(journal_writer& writer, service& kv, const writer_action& action, steady_time now) {
    if (action.call == writer_call::read_shard) {
        on_value(writer, kv.version == 0 ? std::nullopt : std::optional<std::string>(kv.text), kv.version,
                 now);
    } else if (action.call == writer_call::create_page) {
        kv.pages[action.page] = action.text;
        on_written(writer, 1, now);
    } else if (action.call == writer_call::write_shard && action.expected_version == kv.version) {
        kv.text = action.text;
        on_written(writer, ++kv.version, now);
    } else {
        on_conflict(writer, now);
    }
}

// Returns how many of the entries were recorded.
std::size_t take_over(journal_writer& writer, service& kv, std::deque<journal_entry> backlog) {
    const steady_time now = std::chrono::steady_clock::now();
    const steady_time due = now + writer.settings.charge_delay;
    std::size_t recorded = 0;
    acquire_shard(writer);
    while (true) {
        while (!backlog.empty() && submit_entry(writer, 0, backlog.front(), now) == submit_result::accepted) {
            backlog.pop_front();
        }
        const auto action = next_action(writer, due);
        for (const auto& settled : take_finished(writer)) {
            recorded += settled.result.outcome == entry_outcome::applied ? 1 : 0;
        }
        if (action.call == writer_call::wait && backlog.empty()) {
            return recorded;
        }
        perform(writer, kv, action, due);
    }
}

// The value that the former owner left: up to 1,000 open charges, the number at which a page is sealed.
service former_value(std::size_t backlog) {
    service kv;
    journal_writer former = writer_of("former", 500);
    std::deque<journal_entry> entries;
    for (std::size_t i = 1; i <= std::min<std::size_t>(backlog, 1000); ++i) {
        entries.push_back(charge_of("10.0.1.1:8080/77aa0142", i));
    }
    take_over(former, kv, std::move(entries));
    return kv;
}

double median_ms(std::size_t backlog, std::size_t max_batch, int runs) {
    const service before = former_value(backlog);
    std::deque<journal_entry> entries;
    for (std::size_t i = 0; i < backlog; ++i) {
        entries.push_back(entry_of(i));
    }
    std::vector<double> times;
    for (int run = 0; run < runs; ++run) {
        service kv = before;
        journal_writer writer = writer_of("next", max_batch);
        const auto start = std::chrono::steady_clock::now();
        const std::size_t recorded = take_over(writer, kv, entries);
        times.push_back(core::to_seconds(std::chrono::steady_clock::now() - start) * 1000);
        if (recorded != backlog) {
            std::fprintf(stderr, "recorded %zu of %zu entries\n", recorded, backlog);
            std::exit(1);
        }
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

} // namespace

int main() {
    for (const std::size_t backlog : {10U, 100U, 1000U, 10000U}) {
        // The baseline at 10,000 entries runs for a minute.
        const int runs = backlog < 1000 ? 9 : 3;
        const double figspoke = median_ms(backlog, 500, runs);
        const double baseline = median_ms(backlog, 1, backlog > 1000 ? 1 : runs);
        std::printf("measure=takeover_%zu baseline=%.2f figspoke=%.2f unit=ms\n", backlog, baseline,
                    figspoke);
        std::fflush(stdout);
    }
    return 0;
}
