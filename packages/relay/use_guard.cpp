#include "relay/use_guard.h"

#include "policy/prefill.h"

namespace figspoke::relay {

use_guard::use_guard(relay_state& node, std::string upstream, std::string service, work counted)
    : node_(node), upstream_(std::move(upstream)), service_(std::move(service)), work_(counted) {
    auto& use = node_.uses[upstream_];
    ++use.requests;
    use.tokens += work_.tokens;
    use.pending.at(policy::rank_index(work_.rank)) += work_.prefill_ms;
    tell_aggregator();
}

use_guard::~use_guard() {
    remove_pending_prefill();
    auto& use = node_.uses[upstream_];
    --use.requests;
    use.tokens -= work_.tokens;
    tell_aggregator();
    if (use.requests <= 0) {
        node_.uses.erase(upstream_);
    }
    wake_next(node_, service_);
}

void use_guard::end_prefill() {
    if (work_.prefill_ms > 0) {
        remove_pending_prefill();
        tell_aggregator();
    }
}

void use_guard::remove_pending_prefill() {
    node_.uses[upstream_].pending.at(policy::rank_index(work_.rank)) -= work_.prefill_ms;
    work_.prefill_ms = 0;
}

void use_guard::tell_aggregator() const {
    if (asks_load_aggregators(node_)) {
        node_.aggregators->report(upstream_, node_.uses[upstream_]);
    }
}

} // namespace figspoke::relay
