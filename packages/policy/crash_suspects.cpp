#include "policy/crash_suspects.h"

#include <algorithm>
#include <optional>
#include <set>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

using stored_event = crash_suspects::stored_event;
using event_id = crash_suspects::event_id;

void erase_event(crash_suspects& suspects, std::map<event_id, stored_event>::iterator position) {
    const auto range = suspects.by_fingerprint.equal_range(position->second.event.fingerprint);
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second == position->first) {
            suspects.by_fingerprint.erase(it);
            break;
        }
    }
    suspects.events.erase(position);
}

void erase_oldest_event(crash_suspects& suspects) {
    const auto oldest =
        std::min_element(suspects.events.begin(), suspects.events.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    erase_event(suspects, oldest);
}

void add(crash_suspects& suspects, const crash_event& event, core::steady_time at) {
    const event_id id{event.source, event.sequence};
    if (!suspects.events.emplace(id, stored_event{event, at}).second) {
        return;
    }
    suspects.by_fingerprint.emplace(event.fingerprint, id);
    if (suspects.events.size() > suspects.settings.max_events) {
        erase_oldest_event(suspects);
    }
}

std::vector<const stored_event*> unexpired_events(const crash_suspects& suspects,
                                                  const std::string& fingerprint, core::steady_time now) {
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

// Returns whether a request with the fingerprint finished alone after `at`.
bool is_cleared(const crash_suspects& suspects, const std::string& fingerprint, core::steady_time at,
                core::steady_time now) {
    const auto events = unexpired_events(suspects, fingerprint, now);
    return std::any_of(events.begin(), events.end(), [&](const stored_event* stored) {
        return stored->event.kind == crash_event_kind::passed_alone && stored->at > at;
    });
}

// Returns whether both events may belong to one crash.
bool is_same_crash(const crash_suspects& suspects, const stored_event& a, const stored_event& b) {
    const auto time_apart = a.at > b.at ? a.at - b.at : b.at - a.at;
    return a.event.upstream == b.event.upstream && a.event.crash == b.event.crash &&
           time_apart <= suspects.settings.same_crash_window;
}

// Returns whether another request may have caused the crash. Two nodes may have sent requests that must run
// alone to the same upstream, where one ran and the other waited. The crash is attributed to neither until
// the other has finished alone elsewhere.
bool is_contested(const crash_suspects& suspects, const stored_event& crash, core::steady_time now) {
    return std::any_of(suspects.events.begin(), suspects.events.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        return other.event.kind == crash_event_kind::alone &&
               other.event.fingerprint != crash.event.fingerprint && is_same_crash(suspects, crash, other) &&
               !is_cleared(suspects, other.event.fingerprint, other.at, now);
    });
}

} // namespace

std::string crash_fingerprint(std::string_view account, std::string_view body) {
    // The length separates account and body: otherwise "ab"+"c" and "a"+"bc" would have one fingerprint.
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
                  const std::vector<in_flight_request>& running, core::steady_time now) {
    for (const auto& request : running) {
        const auto kind = request.alone ? crash_event_kind::alone : crash_event_kind::concurrent;
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
    for (const auto* event : unexpired_events(suspects, fingerprint, now)) {
        if (event->event.kind != crash_event_kind::alone ||
            is_cleared(suspects, fingerprint, event->at, now) || is_contested(suspects, *event, now)) {
            continue;
        }
        // The same request may have run alone for two callers, which is still one crash.
        const bool counted_before = std::any_of(counted.begin(), counted.end(), [&](const auto* other) {
            return is_same_crash(suspects, *event, *other);
        });
        if (!counted_before) {
            counted.push_back(event);
        }
    }
    return static_cast<int>(counted.size());
}

run_mode run_mode_of(const crash_suspects& suspects, const std::string& fingerprint, core::steady_time now) {
    const auto events = unexpired_events(suspects, fingerprint, now);
    const bool suspected = std::any_of(events.begin(), events.end(), [&](const stored_event* stored) {
        return stored->event.kind != crash_event_kind::passed_alone &&
               !is_cleared(suspects, fingerprint, stored->at, now);
    });
    if (!suspected) {
        return run_mode::normal;
    }
    return attributed_crashes(suspects, fingerprint, now) >= suspects.settings.refusal_threshold
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
            erase_event(suspects, current);
        }
    }
}

} // namespace figspoke::policy
