#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/kv_client.h"
#include "adapters/wakeup.h"
#include "core/settings.h"
#include "core/time.h"
#include "state/journal_writer.h"

namespace figspoke::node {

/// What became of an appended entry.
struct append_outcome {
    state::entry_disposition disposition = state::entry_disposition::not_owner;
    state::apply_result result;
};

using append_callback = std::function<void(append_outcome)>;

/// A caller that waits for its entry, and the end of its patience.
struct waiting_append {
    append_callback callback;
    std::unique_ptr<boost::asio::steady_timer> timer;
};

/// The writer of one shard on this node with the callers that wait for their entries.
struct shard_slot {
    shard_slot(const boost::asio::any_io_executor& owner, state::journal_writer initial)
        : executor(owner), writer(std::move(initial)), wake(owner) {}

    boost::asio::any_io_executor executor;
    std::mutex mutex;
    state::journal_writer writer;
    std::unordered_map<std::uint64_t, waiting_append> waiting;
    std::uint64_t next_ticket = 1;
    adapters::wakeup wake;
};

/// All journal shards as this node sees them. Each shard's writer is driven by a coroutine of its own.
struct journal_service {
    std::vector<std::unique_ptr<shard_slot>> shards;
    /// The members among which the shards were last divided, and this node's part. Only `update_owned_shards`
    /// uses them; dividing anew at each call would take a core's percents with hundreds of members.
    std::vector<std::string> owner_ids;
    std::set<std::uint32_t> owned;
    /// Tells whether a node's incarnation has ended.
    std::function<bool(std::string_view incarnation)> is_gone;
};

/// Builds the writers and starts their coroutines. `kv` and the service must outlive the io_context's run.
void start_journal(journal_service& journal, boost::asio::io_context& context, const adapters::kv_store& kv,
                   const core::journal_section& settings, const std::string& incarnation);

/// Takes over and gives up shards so that this node holds exactly the given ones.
void set_owned_shards(journal_service& journal, const std::set<std::uint32_t>& owned);

/// Appends an entry to a shard that this node owns. The callback may be called at once or from any thread.
/// After the timeout it gets the fate `unknown`, and the entry is withdrawn unless its batch is being
/// written.
void append_local(journal_service& journal, std::uint32_t shard, state::journal_entry entry,
                  std::chrono::milliseconds timeout, append_callback callback);

/// The number of shards that this node owns or is taking over.
std::size_t owned_shard_count(journal_service& journal);

/// The number of shards that this node may write now.
std::size_t held_shard_count(journal_service& journal);

} // namespace figspoke::node
