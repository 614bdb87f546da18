#include "node/evidence_loops.h"

#include <boost/asio/spawn.hpp>

#include <algorithm>

#include "adapters/await.h"
#include "adapters/decision_log.h"
#include "adapters/rating_service.h"
#include "node/evidence_codec.h"
#include "node/node_state.h"
#include "node/random.h"
#include "node/version_stop.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

// Failures of a new version should reach all nodes before many requests follow; other counts can wait.
// Crashes are sent at once.
constexpr std::chrono::milliseconds rollout_exchange_period{250};
constexpr std::chrono::milliseconds exchange_period{1000};
// Each node passes on the counts of all others, so the period grows with their number to bound the bytes.
constexpr std::chrono::milliseconds exchange_period_per_member{25};
constexpr std::chrono::milliseconds rating_period{500};
constexpr std::chrono::milliseconds stop_period{250};
constexpr std::chrono::milliseconds rating_timeout{2000};
constexpr double rated_share = 0.5;
constexpr std::size_t max_pending_ratings = 20000;

std::string take_report(node_state& node) {
    const std::lock_guard lock(node.evidence.mutex);
    auto& evidence = node.evidence;
    if (evidence.changed) {
        evidence.to_send.insert(node.incarnation);
        evidence.changed = false;
    }
    if (evidence.to_send.empty()) {
        return {};
    }
    auto body = encode_evidence(evidence, evidence.to_send, clock::now());
    evidence.to_send.clear();
    return body;
}

bool is_rollout_under_way(const core::config_snapshot& config) {
    return std::any_of(config.versions.begin(), config.versions.end(), [](const auto& entry) {
        const auto& version = entry.second;
        return version.state == core::version_state::active && version.rollout_percent > 0 &&
               version.rollout_percent < 100;
    });
}

std::chrono::milliseconds choose_exchange_period(node_state& node) {
    const auto config = current_config(node.config);
    const auto base = config && is_rollout_under_way(*config) ? rollout_exchange_period : exchange_period;
    const auto members = static_cast<int>(serving_members(node.nodes, clock::now())->size());
    return std::max(base, exchange_period_per_member * members);
}

void exchange_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        send_evidence(node);
        adapters::sleep_for(choose_exchange_period(node), yield);
    }
}

void record_rating(node_state& node, const adapters::answer_rating& rating) {
    const std::lock_guard lock(node.evidence.mutex);
    const auto found = node.evidence.pending_ratings.find(rating.request_id);
    if (found == node.evidence.pending_ratings.end()) {
        return;
    }
    const auto& pending = found->second;
    policy::record_rating(node.evidence.quality, node.incarnation,
                          {pending.key, pending.flagged, rating.passed}, clock::now());
    auto& counts = node.evidence.versions.sources[node.incarnation][{pending.key.version, pending.key.task}];
    ++(rating.passed ? counts.rated_passed : counts.rated_failed);
    node.evidence.pending_ratings.erase(found);
    node.evidence.changed = true;
}

void rating_loop(node_state& node, const yield_context& yield) {
    std::uint64_t after = 0;
    for (;;) {
        const auto page = node.ratings.read(after, yield);
        if (page) {
            after = page->next;
            for (const auto& rating : page->ratings) {
                record_rating(node, rating);
            }
        }
        adapters::sleep_for(rating_period, yield);
    }
}

void stop_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        stop_bad_versions(node, yield);
        {
            const std::lock_guard lock(node.evidence.mutex);
            policy::expire_sources(node.evidence.quality, clock::now());
            policy::expire_events(node.evidence.suspects, clock::now());
        }
        adapters::sleep_for(stop_period, yield);
    }
}

void spawn_loop(node_state& node, void (*loop)(node_state&, const yield_context&)) {
    adapters::spawn_coroutine(node.context, [&node, loop](const yield_context& yield) { loop(node, yield); });
}

// An arbitrary old entry makes room: its rating has most probably been left out of the sample.
void remember_pending(evidence_table& evidence, const std::string& request_id, pending_rating pending) {
    if (evidence.pending_ratings.size() >= max_pending_ratings) {
        evidence.pending_ratings.erase(evidence.pending_ratings.begin());
    }
    evidence.pending_ratings.emplace(request_id, std::move(pending));
}

} // namespace

void start_evidence(node_state& node) {
    spawn_loop(node, exchange_loop);
    if (!node.settings.platform.ratings.empty()) {
        node.ratings =
            adapters::make_rating_service(node.client, node.settings.platform.ratings, rating_timeout);
        spawn_loop(node, rating_loop);
    }
    if (node.settings.policy.early_stop) {
        spawn_loop(node, stop_loop);
    }
}

void send_evidence(node_state& node) {
    auto body = take_report(node);
    if (!body.empty()) {
        node.nodes.mesh->broadcast(adapters::report_message{std::move(body)});
    }
}

void receive_evidence(node_state& node, const std::string& body) {
    const std::lock_guard lock(node.evidence.mutex);
    auto news = merge_evidence(node.evidence, body, clock::now());
    // Links are bounded, so news is passed on; what is known already is not, which ends its spread.
    news.erase(node.incarnation);
    node.evidence.to_send.merge(news);
}

void submit_for_rating(node_state& node, const std::string& request_id, const std::string& version,
                       const std::string& task, const std::string& after, bool flagged,
                       const std::string& answer) {
    if (!node.ratings.submit || random_unit() >= rated_share) {
        return;
    }
    {
        const std::lock_guard lock(node.evidence.mutex);
        remember_pending(node.evidence, request_id, {{task, version, after}, flagged});
    }
    adapters::spawn_coroutine(node.context,
                              [&node, request_id, version, task, answer](const yield_context& yield) {
                                  node.ratings.submit({request_id, version, task, answer}, yield);
                              });
}

} // namespace figspoke::node
