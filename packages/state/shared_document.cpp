#include "state/shared_document.h"

#include <algorithm>

#include "core/hash.h"

namespace figspoke::state {
namespace {

// Larger than the number of contents that the nodes of a fleet hold at one time.
constexpr std::size_t max_compared = 16;

bool has_versions(const document_content& content) {
    return std::any_of(content.items.begin(), content.items.end(),
                       [](const document_item& item) { return item.version.has_value(); });
}

bool lacks_versions(const document_content& content) {
    return std::any_of(content.items.begin(), content.items.end(),
                       [](const document_item& item) { return item.kept && item.version; });
}

void record_confirmation(shared_document& document, core::steady_time confirmed_at) {
    document.confirmed_at = std::max(document.confirmed_at, confirmed_at);
    const auto current_at =
        lacks_versions(*document.content) ? std::min(confirmed_at, document.grace_until) : confirmed_at;
    document.current_at = std::max(document.current_at, current_at);
}

using item_list = std::vector<document_item>;

item_list::iterator find_item(item_list& items, const std::string& key) {
    return std::find_if(items.begin(), items.end(),
                        [&](const document_item& item) { return item.key == key; });
}

void keep_item(item_list& items, document_item item) {
    item.kept = true;
    const auto place = std::find_if(items.begin(), items.end(),
                                    [&](const document_item& other) { return !(other.key < item.key); });
    if (place != items.end() && place->key == item.key) {
        *place = std::move(item);
    } else {
        items.insert(place, std::move(item));
    }
}

// Returns whether any item was kept.
template <class Condition>
bool keep_if(item_list& items, const item_list& known, const Condition& is_kept) {
    bool any = false;
    for (const auto& item : known) {
        const auto found = find_item(items, item.key);
        if (is_kept(item, found == items.end() ? nullptr : &*found)) {
            keep_item(items, item);
            any = true;
        }
    }
    return any;
}

bool has_higher_version(const document_item& known, const document_item* item) {
    return known.version && (item == nullptr || !item->version || *item->version < *known.version);
}

// Whether the store lacks an item or has an older one. What was written after it came back is newer, although
// its revision may be lower.
bool has_gone_back(const document_item& known, const document_item* item, std::uint64_t first_revision) {
    if (known.version || item == nullptr) {
        return !known.version;
    }
    return item->value != known.value && item->revision < known.revision && item->revision <= first_revision;
}

void record_hash(shared_document& document, std::uint64_t hash) {
    auto& hashes = document.compared;
    if (std::find(hashes.begin(), hashes.end(), hash) != hashes.end()) {
        return;
    }
    if (hashes.size() >= max_compared) {
        hashes.erase(hashes.begin());
    }
    hashes.push_back(hash);
}

bool is_compared(const shared_document& document, std::uint64_t hash) {
    return std::find(document.compared.begin(), document.compared.end(), hash) != document.compared.end();
}

bool adopt(shared_document& document, const document_content& content, core::steady_time confirmed_at,
           bool keeps_missing) {
    record_hash(document, content.hash);
    if (!document.content) {
        document.content = content;
        record_confirmation(document, confirmed_at);
        return true;
    }
    const auto previous_hash = document.content->hash;
    const auto& known = *document.content;
    const bool is_older =
        content.at < known.at || (content.at == known.at && confirmed_at < document.confirmed_at);
    auto next = is_older ? known : content;
    const auto& other = is_older ? content.items : known.items;
    bool kept = keep_if(next.items, other, has_higher_version);
    if (known.at.era < content.at.era) {
        document.first_revision = content.at.revision;
    }
    if (!is_older && keeps_missing) {
        const auto is_kept = [&](const document_item& item, const document_item* found) {
            return has_gone_back(item, found, document.first_revision);
        };
        kept = keep_if(next.items, other, is_kept) || kept;
    }
    if (kept) {
        next.hash = hash_items(next.items);
        record_hash(document, next.hash);
    }
    document.content = std::move(next);
    if (!is_older) {
        record_confirmation(document, confirmed_at);
    }
    return document.content->hash != previous_hash;
}

} // namespace

std::uint64_t hash_items(const std::vector<document_item>& items) {
    std::string text;
    for (const auto& item : items) {
        // Lengths keep apart items whose texts run into each other.
        text += std::to_string(item.key.size()) + ':' + item.key + std::to_string(item.value.size()) + ':' +
                item.value + '@' + std::to_string(item.revision) + (item.kept ? 'k' : ';');
    }
    return core::stable_hash(text);
}

std::vector<document_item> keep_newer_items(std::vector<document_item> items,
                                            const std::vector<document_item>& other) {
    keep_if(items, other, has_higher_version);
    return items;
}

bool adopt_read(shared_document& document, const document_content& content, core::steady_time confirmed_at) {
    return adopt(document, content, confirmed_at,
                 document.keeps_items && confirmed_at < document.grace_until);
}

bool adopt_content(shared_document& document, const document_content& content, core::steady_time confirmed_at,
                   core::steady_time current_at) {
    const bool changed = adopt(document, content, confirmed_at, false);
    if (document.content->hash == content.hash) {
        document.current_at = std::max(document.current_at, std::min(current_at, confirmed_at));
    }
    return changed;
}

std::uint64_t latest_revision(const document_content& content) {
    std::uint64_t latest = 0;
    for (const auto& item : content.items) {
        latest = std::max(latest, item.revision);
    }
    return latest;
}

bool refresh_items(shared_document& document, const document_content& content) {
    if (!document.content || document.content->hash != content.hash ||
        document.content->at.era != content.at.era ||
        latest_revision(content) <= latest_revision(*document.content)) {
        return false;
    }
    document.content->items = content.items;
    return true;
}

void record_compared(shared_document& document, std::uint64_t hash) {
    record_hash(document, hash);
}

void begin_grace(shared_document& document, core::steady_time now, core::milliseconds grace) {
    document.grace_until = now + grace;
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
    const auto claimed = std::min(earliest_confirmation(claim, echo), now);
    if (claim.hash != content.hash) {
        const bool is_later =
            content.at < claim.at || (content.at == claim.at && document.confirmed_at < claimed);
        // A peer with an older content may still hold a version that the store has lost.
        const bool is_unknown = has_versions(content) && !is_compared(document, claim.hash);
        return is_later || is_unknown ? claim_verdict::newer : claim_verdict::no_change;
    }
    // A later era is taken from a document only: a datagram that was damaged must not make a node ignore the
    // store.
    if (claim.at.era != content.at.era) {
        return content.at.era < claim.at.era ? claim_verdict::newer : claim_verdict::no_change;
    }
    // Equal hashes cover equal values, so the peer's confirmation holds for this content too, at whichever
    // revision either of them read it.
    content.at = std::max(content.at, claim.at);
    const auto previous = document.confirmed_at;
    record_confirmation(document, claimed);
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
