#include "support/journal_simulation.h"

#include <algorithm>

#include "state/apply_charge.h"
#include "state/shard_size.h"

namespace figspoke::test {
namespace {

using namespace state;
using core::milliseconds;

constexpr std::uint32_t shard = 0;
const char* const shard_key = "shard";

void start_node(journal_simulation& sim, std::size_t index) {
    auto& node = sim.nodes[index];
    node = {
        "n" + std::to_string(index) + "." + std::to_string(node.restarts), node.restarts, false, {}, {}, {}};
    writer_settings settings;
    settings.owner = node.incarnation;
    settings.max_waiting = 12;
    settings.max_batch = 3;
    settings.seal_above = 4;
    settings.max_page_charges = 3;
    const auto* ended = &sim.ended_incarnations;
    node.writer = make_journal_writer(
        settings, [ended](std::string_view name) { return ended->count(std::string(name)) != 0; });
    node.unsettled.writer = node.incarnation;
}

bool is_in_value(const journal_shard& value, const journal_entry& entry) {
    if (const auto* claim = std::get_if<order_claim>(&entry)) {
        const auto found = value.orders.find(claim->order_id);
        return found != value.orders.end() && found->second.request_id == claim->request_id;
    }
    if (const auto* result = std::get_if<order_result>(&entry)) {
        const auto found = value.orders.find(result->order_id);
        return found != value.orders.end() && found->second.request_id == result->request_id &&
               found->second.state == result->state;
    }
    const auto& wanted = std::get<charge>(entry);
    const auto found = value.writers.find(wanted.writer);
    return found != value.writers.end() && is_recorded(found->second, wanted.sequence);
}

void submit(journal_simulation& sim, std::size_t node, const journal_entry& entry, std::size_t source) {
    if (sim.nodes[node].paused) {
        return;
    }
    const std::uint64_t ticket = sim.next_ticket++;
    if (submit_entry(sim.nodes[node].writer, ticket, entry, sim.now) == submit_result::accepted) {
        sim.submissions[ticket] = {node, entry, source};
    }
}

void handle_claim_outcome(simulated_request& request, journal_simulation& sim, entry_outcome outcome) {
    if (request.state != request_state::claiming) {
        return;
    }
    if (outcome == entry_outcome::backlog_full) {
        return;
    }
    if (outcome != entry_outcome::applied && outcome != entry_outcome::duplicate) {
        request.state = request_state::done;
        return;
    }
    request.state = request_state::reporting;
    request.dispatched = true;
    // The upstream refuses every fourth request without running it.
    const bool refused = request.claim.request_id.back() % 4 == 3;
    request.final_state = refused ? order_state::refused : order_state::completed;
    if (!refused && ++sim.runs[request.claim.order_id] > 1) {
        sim.violations.emplace("order", request.claim.request_id + " ran the order a second time");
    }
}

void handle_charge_outcome(journal_simulation& sim, const charge& value, entry_outcome outcome,
                           std::size_t holder) {
    if (outcome != entry_outcome::applied && outcome != entry_outcome::duplicate) {
        return;
    }
    sim.acknowledged.emplace(std::make_pair(value.writer, value.sequence), value);
    if (sim.nodes[holder].incarnation == value.writer) {
        settle_charge(sim.nodes[holder].unsettled, shard, value.sequence);
    }
    for (auto& node : sim.nodes) {
        drop_copy(node.copies, value.writer, shard, value.sequence);
    }
}

void handle_outcome(journal_simulation& sim, const submitted_entry& submission, entry_outcome outcome) {
    if (const auto* value = std::get_if<charge>(&submission.entry)) {
        handle_charge_outcome(sim, *value, outcome, submission.source);
        return;
    }
    auto& request = sim.requests[submission.source];
    if (sim.nodes[request.node].incarnation != request.claim.claimant) {
        return;
    }
    if (std::holds_alternative<order_claim>(submission.entry)) {
        handle_claim_outcome(request, sim, outcome);
    } else if (request.state == request_state::reporting && outcome != entry_outcome::backlog_full) {
        request.state = request_state::done;
    }
}

void handle_finished_entries(journal_simulation& sim, std::size_t index) {
    for (const auto& finished : take_finished(sim.nodes[index].writer)) {
        const submitted_entry submission = sim.submissions.at(finished.ticket);
        sim.submissions.erase(finished.ticket);
        const std::string name = entry_name(submission.entry);
        const auto recorded = sim.recorded_by.find(name);
        if (finished.disposition == entry_disposition::not_owner && recorded != sim.recorded_by.end() &&
            recorded->second == sim.nodes[index].incarnation) {
            sim.violations.emplace("not_written", name + " is in the value");
        }
        if (finished.disposition == entry_disposition::settled && finished.result.changed &&
            recorded == sim.recorded_by.end() && std::holds_alternative<charge>(submission.entry)) {
            sim.violations.emplace("written", name + " is not in the value");
        }
        if (finished.disposition == entry_disposition::settled &&
            !std::exchange(sim.drop_next_outcome, false)) {
            handle_outcome(sim, submission, finished.result.outcome);
        }
    }
}

void check_write(journal_simulation& sim, const std::string& incarnation, const std::string& text) {
    const journal_shard before = read_shard(sim);
    const journal_shard after = decode_shard(text).value();
    const bool same_owner = after.epoch == before.epoch && after.owner == before.owner;
    if (after.owner != incarnation || (!same_owner && after.epoch != before.epoch + 1)) {
        sim.violations.emplace("fence", incarnation + " wrote after " + before.owner);
    }
    if (text.size() > estimate_bytes(after)) {
        sim.violations.emplace("size", "the estimate is below " + std::to_string(text.size()));
    }
    if (after.next_page < before.next_page || after.clock < before.clock) {
        sim.violations.emplace("fence", after.owner + " wrote an old value");
    }
}

// Records which submitted entries the write adds to the value.
void note_recorded_entries(journal_simulation& sim, const std::string& incarnation, const std::string& text) {
    const journal_shard before = read_shard(sim);
    const journal_shard after = decode_shard(text).value();
    for (const auto& [ticket, submission] : sim.submissions) {
        if (!is_in_value(before, submission.entry) && is_in_value(after, submission.entry)) {
            sim.recorded_by[entry_name(submission.entry)] = incarnation;
        }
    }
}

void deliver(journal_simulation& sim, simulated_call& call) {
    const auto& action = call.action;
    const bool is_page = action.call == writer_call::read_page || action.call == writer_call::create_page;
    auto& value = sim.stored[is_page ? page_key(action.page) : shard_key];
    call.delivered = true;
    call.written = false;
    if (action.call == writer_call::write_shard || action.call == writer_call::create_page) {
        call.written = value.version == action.expected_version;
        if (call.written) {
            if (!is_page) {
                check_write(sim, call.incarnation, action.text);
                note_recorded_entries(sim, call.incarnation, action.text);
            }
            value = {action.text, value.version + 1};
        }
    }
    call.text = value.text;
    call.version = value.version;
    if (value.version == 0) {
        sim.stored.erase(is_page ? page_key(action.page) : shard_key);
    }
}

void report_end(journal_simulation& sim, simulated_call& call, bool reply_lost) {
    call.reported = true;
    auto& node = sim.nodes[call.node];
    if (node.incarnation != call.incarnation) {
        return;
    }
    const bool is_read =
        call.action.call == writer_call::read_shard || call.action.call == writer_call::read_page;
    if (reply_lost) {
        on_reply_lost(node.writer, sim.now);
    } else if (is_read) {
        const bool absent = call.version == 0;
        on_value(node.writer, absent ? std::nullopt : std::optional<std::string>(call.text), call.version,
                 sim.now);
    } else if (call.written) {
        on_written(node.writer, call.version, sim.now);
    } else {
        on_conflict(node.writer, sim.now);
    }
    handle_finished_entries(sim, call.node);
}

void step_node(journal_simulation& sim, std::size_t index) {
    if (sim.nodes[index].paused) {
        return;
    }
    const writer_action action = next_action(sim.nodes[index].writer, sim.now);
    if (action.call != writer_call::wait) {
        sim.calls.push_back({index, sim.nodes[index].incarnation, action, false, false, "", 0, false});
    }
    handle_finished_entries(sim, index);
}

// Picks one of the calls that match the condition; returns null if none matches.
template <class Condition>
simulated_call* pick_call(journal_simulation& sim, std::uint32_t choice, Condition condition) {
    std::vector<simulated_call*> matching;
    for (auto& call : sim.calls) {
        if (condition(call)) {
            matching.push_back(&call);
        }
    }
    return matching.empty() ? nullptr : matching[choice % matching.size()];
}

bool can_report(const journal_simulation& sim, const simulated_call& call) {
    return !call.reported && !sim.nodes[call.node].paused;
}

void step_network(journal_simulation& sim, std::uint32_t kind, std::uint32_t choice) {
    if (kind == 0) {
        if (auto* call = pick_call(sim, choice, [](const simulated_call& c) { return !c.delivered; })) {
            deliver(sim, *call);
        }
    } else if (kind == 1) {
        if (auto* call =
                pick_call(sim, choice, [&](const auto& c) { return c.delivered && can_report(sim, c); })) {
            report_end(sim, *call, false);
        }
    } else if (kind == 2) {
        if (auto* call = pick_call(sim, choice, [&](const auto& c) { return can_report(sim, c); })) {
            report_end(sim, *call, true);
        }
    } else if (auto* call = pick_call(sim, choice, [](const auto& c) { return c.delivered; })) {
        // A second copy of the call arrives; the node may receive either reply.
        deliver(sim, *call);
    }
}

void add_request(journal_simulation& sim, std::uint32_t choice) {
    const std::size_t node = choice % sim.nodes.size();
    const std::string order = "order" + std::to_string((sim.requests.size() + choice / 4 % 4) / 6);
    const std::string body = choice % 16 == 0 ? "other" : "same";
    const std::string id = "r" + std::to_string(sim.requests.size());
    sim.requests.push_back({{order, "acme", body, id, sim.nodes[node].incarnation}, node});
}

void add_node_charge(journal_simulation& sim, std::uint32_t choice) {
    const std::size_t index = choice % sim.nodes.size();
    auto& node = sim.nodes[index];
    if (node.paused || !reserve_charge(node.unsettled)) {
        return;
    }
    charge value;
    value.id = "c" + std::to_string(sim.next_ticket++);
    value.account = choice % 2 == 0 ? "acme" : "globex";
    value.key_id = choice % 3 == 0 ? "key" + std::to_string(choice / 3 % 4) : "";
    value.micros = choice % 100;
    value = add_charge(node.unsettled, shard, value);
    keep_copy(sim.nodes[(index + 1) % sim.nodes.size()].copies, {shard, value});
}

void send_charges(journal_simulation& sim, std::size_t from, std::size_t to) {
    if (sim.nodes[from].paused) {
        return;
    }
    for (const auto& value : charges_to_send(sim.nodes[from].unsettled, shard, 4, sim.now)) {
        submit(sim, to, value, from);
    }
    const auto has_ended = [&](std::string_view name) {
        return sim.ended_incarnations.count(std::string(name)) != 0;
    };
    for (const auto& copy : copies_to_send(sim.nodes[from].copies, has_ended, 4)) {
        submit(sim, to, copy.value, from);
    }
}

void send_request(journal_simulation& sim, std::size_t index, std::size_t to) {
    const auto& request = sim.requests[index];
    const bool alive = sim.nodes[request.node].incarnation == request.claim.claimant;
    if (!alive || sim.nodes[request.node].paused || request.state == request_state::done) {
        return;
    }
    const auto& claim = request.claim;
    if (request.state == request_state::claiming) {
        submit(sim, to, claim, index);
    } else {
        submit(sim, to,
               order_result{claim.order_id, claim.account, claim.body_sha256, claim.request_id,
                            claim.claimant, request.final_state, 200, "done"},
               index);
    }
}

void abandon_request(simulated_request& request) {
    if (request.state == request_state::claiming) {
        request.state = request_state::reporting;
        request.final_state = order_state::refused;
    }
}

void crash(journal_simulation& sim, std::size_t index) {
    sim.ended_incarnations.insert(sim.nodes[index].incarnation);
    for (auto it = sim.submissions.begin(); it != sim.submissions.end();) {
        it = it->second.node == index ? sim.submissions.erase(it) : std::next(it);
    }
    ++sim.nodes[index].restarts;
    start_node(sim, index);
}

void step_fault(journal_simulation& sim, std::uint32_t kind, std::uint32_t choice) {
    const std::size_t index = choice % sim.nodes.size();
    if (kind == 0) {
        sim.nodes[index].paused = !sim.nodes[index].paused;
    } else if (kind == 1) {
        sim.drop_next_outcome = true;
    } else if (kind == 2 && choice % 4 == 0) {
        crash(sim, index);
    } else if (kind == 3 && choice % 2 == 0 && !sim.nodes[index].paused) {
        release_shard(sim.nodes[index].writer);
        handle_finished_entries(sim, index);
    }
}

void step_workload(journal_simulation& sim, std::uint32_t kind, std::uint32_t choice) {
    const std::size_t from = choice % sim.nodes.size();
    const std::size_t to = choice / 5 % sim.nodes.size();
    if (kind == 0) {
        add_request(sim, choice);
    } else if (kind == 1) {
        add_node_charge(sim, choice);
    } else if (kind == 2) {
        send_charges(sim, from, to);
    } else if (kind == 3 && !sim.requests.empty()) {
        send_request(sim, choice % sim.requests.size(), to);
    } else if (kind == 4 && !sim.requests.empty() && choice % 3 == 0) {
        abandon_request(sim.requests[choice % sim.requests.size()]);
    }
}

} // namespace

journal_simulation make_journal_simulation(std::size_t nodes) {
    journal_simulation sim;
    sim.now += std::chrono::hours(1);
    sim.nodes.resize(nodes);
    return sim;
}

void run_step(journal_simulation& sim, std::uint32_t step) {
    if (sim.nodes.front().incarnation.empty()) {
        for (std::size_t i = 0; i < sim.nodes.size(); ++i) {
            start_node(sim, i);
        }
    }
    const std::uint32_t kind = step % 64;
    const std::uint32_t choice = step / 64;
    if (kind < 14) {
        step_node(sim, choice % sim.nodes.size());
    } else if (kind < 24) {
        step_network(sim, 0, choice);
    } else if (kind < 34) {
        step_network(sim, 1, choice);
    } else if (kind < 38) {
        step_network(sim, 2 + kind % 2, choice);
    } else if (kind < 42) {
        acquire_shard(sim.nodes[choice % sim.nodes.size()].writer);
    } else if (kind < 46) {
        step_fault(sim, kind - 42, choice);
    } else if (kind < 61) {
        step_workload(sim, kind % 5, choice);
    } else {
        sim.now += milliseconds(choice % 400);
    }
}

void run_without_faults(journal_simulation& sim) {
    acquire_shard(sim.nodes[0].writer);
    for (std::size_t i = 0; i < sim.nodes.size(); ++i) {
        send_charges(sim, i, 0);
        for (int calls = 0; calls < 4; ++calls) {
            step_node(sim, i);
            step_network(sim, 0, 0);
            step_network(sim, 1, 0);
        }
    }
    for (std::size_t i = 0; i < sim.requests.size(); ++i) {
        send_request(sim, i, 0);
    }
    sim.now += milliseconds(300);
}

} // namespace figspoke::test
