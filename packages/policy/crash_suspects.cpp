#include "policy/crash_suspects.h"

#include <algorithm>
#include <optional>
#include <set>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

using stored_event = crash_suspects::stored_event;
using event_id = crash_suspects::event_id;

void drop(crash_suspects& suspects, std::map<event_id, stored_event>::iterator which) {
    const auto range = suspects.by_fingerprint.equal_range(which->second.event.fingerprint);
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second == which->first) {
            suspects.by_fingerprint.erase(it);
            break;
        }
    }
    suspects.events.erase(which);
}

void drop_oldest(crash_suspects& suspects) {
    const auto oldest =
        std::min_element(suspects.events.begin(), suspects.events.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    drop(suspects, oldest);
}

void add(crash_suspects& suspects, const crash_event& event, core::steady_time at) {
    const event_id id{event.source, event.sequence};
    if (!suspects.events.emplace(id, stored_event{event, at}).second) {
        return;
    }
    suspects.by_fingerprint.emplace(event.fingerprint, id);
    if (suspects.events.size() > suspects.settings.max_events) {
        drop_oldest(suspects);
    }
}

std::vector<const stored_event*> events_of(const crash_suspects& suspects, const std::string& fingerprint,
                                           core::steady_time now) {
    std::vector<const stored_event*> found;
    const auto range = suspects.by_fingerprint.equal_range(fingerprint);
    for (auto it = range.first; it != range.second; ++it) {
        const auto& event = suspects.events.at(it->second);
        if (now - event.at < suspects.settings.expiry) {
            found.push_back(&event);
        }
    }
    return found;
}

// Tells whether the fingerprint finished alone after `at`.
bool is_cleared(const crash_suspects& suspects, const std::string& fingerprint, core::steady_time at,
                core::steady_time now) {
    const auto events = events_of(suspects, fingerprint, now);
    return std::any_of(events.begin(), events.end(), [&](const stored_event* each) {
        return each->event.kind == crash_event_kind::passed_alone && each->at > at;
    });
}

// Tells whether both events may be of one crash.
bool same_crash(const crash_suspects& suspects, const stored_event& a, const stored_event& b) {
    const auto apart = a.at > b.at ? a.at - b.at : b.at - a.at;
    return a.event.upstream == b.event.upstream && a.event.crash == b.event.crash &&
           apart <= suspects.settings.same_crash;
}

// Two nodes may each have sent a request to run alone to the same upstream: one was running and the other
// was waiting. Neither is blamed until the other one has finished alone elsewhere.
bool is_contested(const crash_suspects& suspects, const stored_event& crash, core::steady_time now) {
    return std::any_of(suspects.events.begin(), suspects.events.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        return other.event.kind == crash_event_kind::alone &&
               other.event.fingerprint != crash.event.fingerprint && same_crash(suspects, crash, other) &&
               !is_cleared(suspects, other.event.fingerprint, other.at, now);
    });
}

} // namespace

std::string crash_fingerprint(std::string_view account, std::string_view body) {
    // The length separates account and body: otherwise "ab"+"c" and "a"+"bc" would be one fingerprint.
    return core::sha256_hex(std::to_string(account.size()) + ':' + std::string(account) + std::string(body));
}

std::uint64_t crashes_seen(const crash_suspects& suspects, const std::string& upstream) {
    std::uint64_t highest = 0;
    for (const auto& [id, stored] : suspects.events) {
        if (stored.event.upstream == upstream) {
            highest = std::max(highest, stored.event.crash);
        }
    }
    return highest;
}

void record_crash(crash_suspects& suspects, const std::string& source, const std::string& upstream,
                  const std::vector<exposed_request>& running, core::steady_time now) {
    for (const auto& request : running) {
        const auto kind = request.alone ? crash_event_kind::alone : crash_event_kind::companion;
        add(suspects,
            {source, ++suspects.last_sequence, kind, request.fingerprint, upstream, core::nanoseconds(0),
             request.crashes_seen + 1},
            now);
    }
}

void record_passed_alone(crash_suspects& suspects, const std::string& source, const std::string& fingerprint,
                         core::steady_time now) {
    add(suspects,
        {source, ++suspects.last_sequence, crash_event_kind::passed_alone, fingerprint, "",
         core::nanoseconds(0), 0},
        now);
}

int attributed_crashes(const crash_suspects& suspects, const std::string& fingerprint,
                       core::steady_time now) {
    std::vector<const stored_event*> counted;
    for (const auto* event : events_of(suspects, fingerprint, now)) {
        if (event->event.kind != crash_event_kind::alone ||
            is_cleared(suspects, fingerprint, event->at, now) || is_contested(suspects, *event, now)) {
            continue;
        }
        // The same request may have run alone for two callers in one crash.
        const bool known = std::any_of(counted.begin(), counted.end(), [&](const auto* other) {
            return same_crash(suspects, *event, *other);
        });
        if (!known) {
            counted.push_back(event);
        }
    }
    return static_cast<int>(counted.size());
}

run_mode run_mode_of(const crash_suspects& suspects, const std::string& fingerprint, core::steady_time now) {
    const auto events = events_of(suspects, fingerprint, now);
    const bool suspected = std::any_of(events.begin(), events.end(), [&](const stored_event* each) {
        return each->event.kind != crash_event_kind::passed_alone &&
               !is_cleared(suspects, fingerprint, each->at, now);
    });
    if (!suspected) {
        return run_mode::normal;
    }
    return attributed_crashes(suspects, fingerprint, now) >= suspects.settings.refuse_after
               ? run_mode::refused
               : run_mode::alone;
}

std::vector<crash_event> export_events(const crash_suspects& suspects, core::steady_time now) {
    std::vector<crash_event> events;
    for (const auto& entry : suspects.events) {
        auto event = entry.second.event;
        event.age = now - entry.second.at;
        events.push_back(std::move(event));
    }
    return events;
}

void merge_events(crash_suspects& suspects, const std::vector<crash_event>& events, core::steady_time now) {
    for (const auto& event : events) {
        if (event.age < suspects.settings.expiry) {
            add(suspects, event, now - event.age);
        }
    }
}

void expire_events(crash_suspects& suspects, core::steady_time now) {
    for (auto it = suspects.events.begin(); it != suspects.events.end();) {
        const auto current = it++;
        if (now - current->second.at >= suspects.settings.expiry) {
            drop(suspects, current);
        }
    }
}

} // namespace figspoke::policy
