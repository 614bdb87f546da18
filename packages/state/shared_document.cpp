#include "state/shared_document.h"

#include <algorithm>

namespace figspoke::state {
namespace {

void record_confirmation(shared_document& document, core::steady_time confirmed_at) {
    document.confirmed_at = std::max(document.confirmed_at, confirmed_at);
}

} // namespace

bool adopt_content(shared_document& document, const document_content& content,
                   core::steady_time confirmed_at) {
    if (document.content && content.at < document.content->at) {
        return false;
    }
    const bool changed = !document.content || document.content->hash != content.hash;
    document.content = content;
    record_confirmation(document, confirmed_at);
    return changed;
}

core::steady_time earliest_confirmation(const document_claim& claim, const clock_echo& echo) {
    return echo.sent_at + echo.hold_time - claim.age;
}

claim_verdict merge_claim(shared_document& document, const document_claim& claim, const clock_echo& echo,
                          core::steady_time now) {
    if (claim.at == store_position{}) {
        return claim_verdict::no_change;
    }
    if (!document.content) {
        return claim_verdict::newer;
    }
    auto& content = *document.content;
    if (claim.hash != content.hash) {
        return content.at < claim.at ? claim_verdict::newer : claim_verdict::no_change;
    }
    // Content with the same hash at a later revision was current in between as well. The store is
    // linearizable, and although equal values may return after a change, the hash covers revisions and so
    // differs then.
    content.at = std::max(content.at, claim.at);
    const auto previous = document.confirmed_at;
    record_confirmation(document, std::min(earliest_confirmation(claim, echo), now));
    return document.confirmed_at > previous ? claim_verdict::confirmed : claim_verdict::no_change;
}

core::steady_time next_read_time(const shared_document& document, const read_schedule& schedule,
                                 std::size_t rank) {
    // The next read depends on the age of the confirmation and not on the time of the last update: heartbeats
    // report one confirmation several times, each time with a slightly tighter bound.
    if (document.confirmed_at == core::steady_time::min()) {
        return core::steady_time::min();
    }
    const auto capped_rank = std::min<std::size_t>(rank, std::size_t(schedule.max_takeover_steps) + 1);
    if (capped_rank == 0) {
        return document.confirmed_at + schedule.interval;
    }
    return document.confirmed_at + schedule.interval + schedule.takeover_delay +
           schedule.takeover_step * (capped_rank - 1);
}

} // namespace figspoke::state
