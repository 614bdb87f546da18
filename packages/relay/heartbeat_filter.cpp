#include "relay/heartbeat_filter.h"

#include <algorithm>
#include <map>

namespace figspoke::relay {
namespace {

template <class List, class Condition>
void remove_if(List& list, Condition condition) {
    list.erase(std::remove_if(list.begin(), list.end(), condition), list.end());
}

} // namespace

// During a roll-out every process sends reports, and after the crash of many engines hundreds of requests are
// suspects. With all of them in every heartbeat to every peer, heartbeats took more than half of a 10 Mbit/s
// link.
void filter_heartbeat(heartbeat_message& message, const heartbeat_repetition& repeated) {
    if (!repeated.other_reports) {
        remove_if(message.trials,
                  [&](const trial_record& record) { return record.report.node != message.sender.id; });
    }
    if (repeated.old_records) {
        return;
    }
    std::map<std::uint64_t, std::size_t> crashes;
    for (const auto& record : message.crashes) {
        ++crashes[record.fingerprint];
    }
    remove_if(message.crashes, [&](const crash_record& record) {
        return record.age > max_new_record_age && crashes[record.fingerprint] == 1;
    });
    remove_if(message.sessions, [](const session_record& record) { return record.age > max_new_record_age; });
}

} // namespace figspoke::relay
