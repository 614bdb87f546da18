#pragma once

#include <string>

namespace figspoke::node {

struct node_state;

/// Starts the background work on evidence: passing it on, reading ratings, and stopping bad versions.
void start_evidence(node_state& node);

/// Sends what is new to the linked peers at once.
void send_evidence(node_state& node);

/// Merges the evidence that a peer sent.
void receive_evidence(node_state& node, const std::string& body);

/// Sends an answer to the rating service in the background, so that its rating finds its way into the
/// evidence. `after` is the version whose answer was escalated before, or empty.
void submit_for_rating(node_state& node, const std::string& request_id, const std::string& version,
                       const std::string& task, const std::string& after, bool flagged,
                       const std::string& answer);

} // namespace figspoke::node
