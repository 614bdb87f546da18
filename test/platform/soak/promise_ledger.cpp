#include "platform/soak/promise_ledger.h"

#include <algorithm>
#include <array>

namespace figspoke::soak {
namespace {

constexpr std::array<int, 4> refusals{408, 421, 429, 503};

std::string describe_runs(const std::vector<engine_run>& runs) {
    std::string text;
    for (const auto& run : runs) {
        text += ' ' + run.engine;
    }
    return text;
}

// Faults last until they have been over for a while: nodes learn of changes again meanwhile.
bool is_calm(const promise_ledger& ledger, const promise_bounds& bounds, const time_span& span) {
    return std::none_of(ledger.faults.begin(), ledger.faults.end(), [&](const time_span& fault) {
        return fault.from < span.until && fault.until + bounds.calm > span.from;
    });
}

// An engine that is still at work at the deadline is left, which ends the answer.
constexpr core::milliseconds deadline_margin{100};

bool was_cut_off(const promise_ledger& ledger, const promise_bounds& bounds, const std::string& id,
                 const sent_request& sent, const std::vector<engine_run>& runs) {
    const auto cut = ledger.cut_off.find(id);
    if (cut == ledger.cut_off.end() || !is_calm(ledger, bounds, cut->second)) {
        return false;
    }
    const bool early = cut->second.until + deadline_margin < sent.at + sent.deadline;
    return std::any_of(runs.begin(), runs.end(),
                       [&](const engine_run& run) { return run.completed || (early && !run.broken_off); });
}

bool ran_without_tenants(const promise_ledger& ledger, const promise_bounds& bounds,
                         const sent_request& sent) {
    return std::any_of(ledger.without_tenants.begin(), ledger.without_tenants.end(),
                       [&](const time_span& span) {
                           return sent.at > span.from + bounds.revocation && sent.at < span.until;
                       });
}

// Nodes that have learned in calm that an engine drains never use it again.
bool reached_drained(const promise_ledger& ledger, const promise_bounds& bounds, const engine_run& run) {
    const auto drained = ledger.drained_engines.find(run.engine);
    if (drained == ledger.drained_engines.end() || run.at <= drained->second + bounds.drain) {
        return false;
    }
    const bool restarted =
        std::any_of(ledger.restarts.begin(), ledger.restarts.end(), [&](const time_span& restart) {
            return restart.from < run.at && restart.until + bounds.calm > run.at;
        });
    return !restarted && is_calm(ledger, bounds, {drained->second, drained->second + bounds.drain});
}

std::vector<std::string> faults_of(const promise_ledger& ledger, const promise_bounds& bounds,
                                   const std::string& id, const sent_request& sent,
                                   const std::vector<engine_run>& runs) {
    std::vector<std::string> faults;
    const auto add = [&](const std::string& what) {
        faults.push_back("request " + id + ' ' + what + ':' + describe_runs(runs));
    };
    if (sent.kind == request_kind::at_most_once && runs.size() > 1) {
        add("ran more than once");
    }
    if (const auto refused = ledger.promised_not_run.find(id); refused != ledger.promised_not_run.end()) {
        add("ran and was refused with " + std::to_string(refused->second));
    }
    const auto revoked = ledger.revoked_keys.find(sent.key);
    if ((revoked != ledger.revoked_keys.end() && sent.at > revoked->second + bounds.revocation) ||
        ran_without_tenants(ledger, bounds, sent)) {
        add("ran with a key that was taken away");
    }
    if (was_cut_off(ledger, bounds, id, sent, runs)) {
        add("lost its answer in calm");
    }
    for (const auto& run : runs) {
        if (reached_drained(ledger, bounds, run)) {
            add("reached an engine that drains");
        }
    }
    return faults;
}

} // namespace

bool promises_not_run(int status) {
    return std::find(refusals.begin(), refusals.end(), status) != refusals.end();
}

std::vector<std::string> broken_promises(const promise_ledger& ledger, const promise_bounds& bounds) {
    auto broken = ledger.violations;
    for (const auto& [id, runs] : ledger.runs) {
        const auto sent = ledger.sent.find(id);
        if (sent == ledger.sent.end()) {
            broken.push_back("request " + id + " ran though no caller sent it");
            continue;
        }
        const auto faults = faults_of(ledger, bounds, id, sent->second, runs);
        broken.insert(broken.end(), faults.begin(), faults.end());
    }
    return broken;
}

std::string stream_event(std::uint64_t number, bool last, const std::string& content) {
    const auto text = std::to_string(number);
    std::string event = "id: ";
    event.append(text).append("\ndata: ");
    if (last) {
        event.append("end");
    } else {
        event.append(text).append(" of ").append(content);
    }
    return event.append("\n\n");
}

stream_check check_stream(const std::string& body, const std::string& content) {
    stream_check check;
    std::size_t begin = 0;
    while (begin < body.size()) {
        const auto end = body.find("\n\n", begin);
        if (end == std::string::npos) {
            break;
        }
        const auto event = body.substr(begin, end + 2 - begin);
        begin = end + 2;
        const auto number = check.events + 1;
        if (event == stream_event(number, true, content)) {
            check.ended = true;
        } else if (check.ended || event != stream_event(number, false, content)) {
            check.fault = "has an event that is missing, repeated or of another request: " + event;
            return check;
        }
        ++check.events;
    }
    return check;
}

} // namespace figspoke::soak
