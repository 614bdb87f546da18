#include "state/shared_document.h"

#include <algorithm>

namespace figspoke::state {
namespace {

void note_confirmation(shared_document& document, core::steady_time confirmed_at) {
    document.confirmed_at = std::max(document.confirmed_at, confirmed_at);
}

} // namespace

bool take_content(shared_document& document, const document_content& content,
                  core::steady_time confirmed_at) {
    if (document.content && content.at < document.content->at) {
        return false;
    }
    const bool changed = !document.content || document.content->hash != content.hash;
    document.content = content;
    note_confirmation(document, confirmed_at);
    return changed;
}

core::steady_time earliest_confirmation(const document_claim& claim, const clock_echo& echo) {
    return echo.stamp + echo.held - claim.age;
}

claim_verdict merge_claim(shared_document& document, const document_claim& claim, const clock_echo& echo,
                          core::steady_time now) {
    if (claim.at == 0) {
        return claim_verdict::nothing;
    }
    if (!document.content) {
        return claim_verdict::newer;
    }
    auto& content = *document.content;
    if (claim.hash != content.hash) {
        return claim.at > content.at ? claim_verdict::newer : claim_verdict::nothing;
    }
    // Equal content at a later revision was current in between too: the store is linearizable, but the same
    // content may come back after a change, which the hash of revisions rules out.
    content.at = std::max(content.at, claim.at);
    const auto before = document.confirmed_at;
    note_confirmation(document, std::min(earliest_confirmation(claim, echo), now));
    return document.confirmed_at > before ? claim_verdict::confirmed : claim_verdict::nothing;
}

core::steady_time next_read(const shared_document& document, const reading_schedule& schedule,
                            std::size_t rank) {
    // The age of the confirmation decides and not the time of the last news: beats tell of one confirmation
    // several times, each time with a slightly tighter bound.
    if (document.confirmed_at == core::steady_time::min()) {
        return core::steady_time::min();
    }
    const auto steps = std::min<std::size_t>(rank, std::size_t(schedule.max_steps) + 1);
    if (steps == 0) {
        return document.confirmed_at + schedule.interval;
    }
    return document.confirmed_at + schedule.interval + schedule.patience + schedule.step * (steps - 1);
}

} // namespace figspoke::state
