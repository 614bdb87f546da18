#include "node/shutdown.h"

#include "adapters/await.h"
#include "adapters/decision_log.h"
#include "node/cluster_loops.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

// Callers keep an answer of `/v1/entry` for 2 s; the rest is for requests already under way.
constexpr std::chrono::milliseconds refuse_after{3000};
constexpr std::chrono::milliseconds poll_period{50};
// The stop of the process is bounded by the platform, not by the node: charges that can't be settled for so
// long are also held by the peers that keep their copies.
constexpr std::chrono::seconds settle_limit{60};
constexpr std::chrono::milliseconds goodbye{400};

bool has_unsettled_charges(node_state& node) {
    const std::lock_guard lock(node.charges.mutex);
    return node.charges.held.charges > 0 || node.charges.copies.count > 0;
}

void await_running_requests(const adapters::http_server& server, const yield_context& yield) {
    while (server.running_requests() > 0) {
        adapters::sleep_for(poll_period, yield);
    }
}

void await_settled_charges(node_state& node, const yield_context& yield) {
    const auto limit = clock::now() + settle_limit;
    while (has_unsettled_charges(node) && clock::now() < limit) {
        adapters::sleep_for(poll_period, yield);
    }
}

void hand_over_shards(node_state& node, const yield_context& yield) {
    set_owned_shards(node.journal, {});
    const auto limit = clock::now() + refuse_after;
    while (owned_shard_count(node.journal) > 0 && clock::now() < limit) {
        adapters::sleep_for(poll_period, yield);
    }
}

} // namespace

void begin_shutdown(node_state& node) {
    if (node.draining.exchange(true)) {
        return;
    }
    adapters::log_info("draining", "the node takes no new work in 3 s and ends when its work is finished");
    gossip_now(node);
}

void await_shutdown(node_state& node, adapters::http_server& server, const yield_context& yield) {
    while (!node.draining.load()) {
        adapters::sleep_for(poll_period, yield);
    }
    server.announce_close();
    adapters::sleep_for(refuse_after, yield);
    node.refuses_new_work.store(true);
    await_running_requests(server, yield);
    await_settled_charges(node, yield);
    hand_over_shards(node, yield);
    server.stop_accepting();
    node.stopped.store(true);
    gossip_now(node);
    adapters::sleep_for(goodbye, yield);
    adapters::log_info("stopped", "all accepted work is finished");
}

} // namespace figspoke::node
