#pragma once

#include <string>

#include <boost/asio/spawn.hpp>

#include "adapters/http_client.h"
#include "cli/load_entry.h"
#include "cli/load_plan.h"
#include "cli/load_result.h"

namespace figspoke::cli {

/// What a request needs besides its plan.
struct load_target {
    adapters::http_client& client;
    entry_book& book;
    const load_options& options;
    /// Text that no other run uses, for idempotency keys.
    std::string run_id;
};

/// Sends one request and reads its whole answer. A request that was not sent, or was refused as `draining` or
/// `isolated`, goes to another node. `started` is the planned start.
request_result send_planned(const load_target& target, const planned_request& request, std::size_t number,
                            std::chrono::steady_clock::time_point started,
                            const boost::asio::yield_context& yield);

} // namespace figspoke::cli
