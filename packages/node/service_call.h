#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "adapters/http_types.h"
#include "core/config.h"
#include "core/error.h"
#include "node/caller.h"
#include "node/node_state.h"

namespace figspoke::node {

/// One try of a call to a plain service.
struct service_attempt {
    std::string upstream;
    /// `answered`, `not_run` or `unknown`.
    std::string outcome;
};

/// All that is known of one call to a plain service while it is served.
struct service_session {
    std::shared_ptr<const core::config_snapshot> config;
    node::caller caller;
    core::service service;
    std::string body;
    std::string body_sha256;
    core::steady_time started;
    std::vector<service_attempt> attempts;
    std::int64_t billed_micros = 0;
};

/// Reads a call to a service. Fails with the error for the caller; nothing ran then.
core::result<void> prepare_service_call(node_state& node, const adapters::http_request& request,
                                        const std::string& service, service_session& session);

/// Sends the call to one upstream after the other while each is certain not to have run it. Idempotent calls
/// are also repeated after an unclear end, within the retry budget. Fails with `upstream_refused` (not run),
/// `outcome_unknown`, `upstream_failed` (idempotent calls) or the error of the upstream's choice.
core::result<adapters::http_reply> call_service(node_state& node, service_session& session,
                                                const boost::asio::yield_context& yield);

/// Books the price of an answered call.
void charge_service_call(node_state& node, service_session& session, charge_reservation reservation,
                         const boost::asio::yield_context& yield);

/// Renders the decision line of a call. `event` is `order` or `lookup`.
std::string render_service_line(const service_session& session, const std::string& event,
                                const std::string& outcome, core::steady_time now);

} // namespace figspoke::node
