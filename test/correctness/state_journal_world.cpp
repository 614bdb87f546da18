#include "support/journal_world.h"

#include <algorithm>

#include "state/apply_charge.h"
#include "state/shard_size.h"

namespace figspoke::test {
namespace {

using namespace state;
using core::milliseconds;

constexpr std::uint32_t shard = 0;
const char* const shard_key = "shard";

void start_node(world& w, std::size_t index) {
    auto& node = w.nodes[index];
    node = {
        "n" + std::to_string(index) + "." + std::to_string(node.restarts), node.restarts, false, {}, {}, {}};
    writer_settings settings;
    settings.owner = node.incarnation;
    settings.max_waiting = 12;
    settings.max_batch = 3;
    settings.seal_above = 4;
    settings.page_charges = 3;
    const auto* ended = &w.ended_incarnations;
    node.writer = make_journal_writer(
        settings, [ended](std::string_view name) { return ended->count(std::string(name)) != 0; });
    node.unsettled.writer = node.incarnation;
}

bool is_in_value(const journal_shard& value, const journal_entry& entry) {
    if (const auto* claim = std::get_if<order_claim>(&entry)) {
        const auto found = value.orders.find(claim->order_id);
        return found != value.orders.end() && found->second.request_id == claim->request_id;
    }
    if (const auto* ended = std::get_if<order_result>(&entry)) {
        const auto found = value.orders.find(ended->order_id);
        return found != value.orders.end() && found->second.request_id == ended->request_id &&
               found->second.state == ended->state;
    }
    const auto& wanted = std::get<charge>(entry);
    const auto found = value.writers.find(wanted.writer);
    return found != value.writers.end() && is_recorded(found->second, wanted.sequence);
}

void submit(world& w, std::size_t node, const journal_entry& entry, std::size_t source) {
    if (w.nodes[node].paused) {
        return;
    }
    const std::uint64_t ticket = w.next_ticket++;
    if (submit_entry(w.nodes[node].writer, ticket, entry, w.now) == submit_result::accepted) {
        w.submissions[ticket] = {node, entry, source};
    }
}

void take_claim_outcome(world_request& request, world& w, entry_outcome outcome) {
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
    // Every fourth request is refused by the upstream without being run.
    const bool refused = request.claim.request_id.back() % 4 == 3;
    request.ended = refused ? order_state::refused : order_state::completed;
    if (!refused && ++w.runs[request.claim.order_id] > 1) {
        w.violations.emplace("order", request.claim.request_id + " ran again");
    }
}

void take_charge_outcome(world& w, const charge& value, entry_outcome outcome, std::size_t holder) {
    if (outcome != entry_outcome::applied && outcome != entry_outcome::duplicate) {
        return;
    }
    w.acknowledged.emplace(std::make_pair(value.writer, value.sequence), value);
    if (w.nodes[holder].incarnation == value.writer) {
        settle_charge(w.nodes[holder].unsettled, shard, value.sequence);
    }
    for (auto& node : w.nodes) {
        drop_copy(node.copies, value.writer, shard, value.sequence);
    }
}

void take_outcome(world& w, const world_submission& submission, entry_outcome outcome) {
    if (const auto* value = std::get_if<charge>(&submission.entry)) {
        take_charge_outcome(w, *value, outcome, submission.source);
        return;
    }
    auto& request = w.requests[submission.source];
    if (w.nodes[request.node].incarnation != request.claim.claimant) {
        return;
    }
    if (std::holds_alternative<order_claim>(submission.entry)) {
        take_claim_outcome(request, w, outcome);
    } else if (request.state == request_state::reporting && outcome != entry_outcome::backlog_full) {
        request.state = request_state::done;
    }
}

void take_settled_entries(world& w, std::size_t index) {
    for (const auto& settled : take_settled(w.nodes[index].writer)) {
        const world_submission submission = w.submissions.at(settled.ticket);
        w.submissions.erase(settled.ticket);
        const std::string name = entry_name(submission.entry);
        const auto recorded = w.recorded_by.find(name);
        if (settled.fate == entry_fate::not_owner && recorded != w.recorded_by.end() &&
            recorded->second == w.nodes[index].incarnation) {
            w.violations.emplace("not_written", name + " is in the value");
        }
        if (settled.fate == entry_fate::settled && settled.result.changed &&
            recorded == w.recorded_by.end() && std::holds_alternative<charge>(submission.entry)) {
            w.violations.emplace("written", name + " is not in the value");
        }
        if (settled.fate == entry_fate::settled && !std::exchange(w.lose_next_answer, false)) {
            take_outcome(w, submission, settled.result.outcome);
        }
    }
}

void check_fence(world& w, const std::string& incarnation, const std::string& text) {
    const journal_shard before = read_shard(w);
    const journal_shard after = decode_shard(text).value();
    const bool same_owner = after.epoch == before.epoch && after.owner == before.owner;
    if (after.owner != incarnation || (!same_owner && after.epoch != before.epoch + 1)) {
        w.violations.emplace("fence", incarnation + " wrote after " + before.owner);
    }
    if (text.size() > estimate_bytes(after)) {
        w.violations.emplace("size", "the estimate is below " + std::to_string(text.size()));
    }
    if (after.next_page < before.next_page || after.clock < before.clock) {
        w.violations.emplace("fence", after.owner + " wrote an old value");
    }
}

// Notes which open entries the write brings into the value.
void note_recorded(world& w, const std::string& incarnation, const std::string& text) {
    const journal_shard before = read_shard(w);
    const journal_shard after = decode_shard(text).value();
    for (const auto& [ticket, submission] : w.submissions) {
        if (!is_in_value(before, submission.entry) && is_in_value(after, submission.entry)) {
            w.recorded_by[entry_name(submission.entry)] = incarnation;
        }
    }
}

void deliver(world& w, world_call& call) {
    const auto& action = call.action;
    const bool is_page = action.call == writer_call::read_page || action.call == writer_call::create_page;
    auto& cell = w.cells[is_page ? page_key(action.page) : shard_key];
    call.delivered = true;
    call.written = false;
    if (action.call == writer_call::write_shard || action.call == writer_call::create_page) {
        call.written = cell.version == action.expected;
        if (call.written) {
            if (!is_page) {
                check_fence(w, call.incarnation, action.text);
                note_recorded(w, call.incarnation, action.text);
            }
            cell = {action.text, cell.version + 1};
        }
    }
    call.text = cell.text;
    call.version = cell.version;
    if (cell.version == 0) {
        w.cells.erase(is_page ? page_key(action.page) : shard_key);
    }
}

void report(world& w, world_call& call, bool lost) {
    call.ended = true;
    auto& node = w.nodes[call.node];
    if (node.incarnation != call.incarnation) {
        return;
    }
    const bool is_read =
        call.action.call == writer_call::read_shard || call.action.call == writer_call::read_page;
    if (lost) {
        on_lost(node.writer, w.now);
    } else if (is_read) {
        const bool absent = call.version == 0;
        on_value(node.writer, absent ? std::nullopt : std::optional<std::string>(call.text), call.version,
                 w.now);
    } else if (call.written) {
        on_written(node.writer, call.version, w.now);
    } else {
        on_conflict(node.writer, w.now);
    }
    take_settled_entries(w, call.node);
}

void step_node(world& w, std::size_t index) {
    if (w.nodes[index].paused) {
        return;
    }
    const writer_action action = next_action(w.nodes[index].writer, w.now);
    if (action.call != writer_call::wait) {
        w.calls.push_back({index, w.nodes[index].incarnation, action, false, false, "", 0, false});
    }
    take_settled_entries(w, index);
}

// Picks a call that the condition accepts, or none.
template <class Condition>
world_call* pick_call(world& w, std::uint32_t choice, Condition condition) {
    std::vector<world_call*> accepted;
    for (auto& call : w.calls) {
        if (condition(call)) {
            accepted.push_back(&call);
        }
    }
    return accepted.empty() ? nullptr : accepted[choice % accepted.size()];
}

bool can_report(const world& w, const world_call& call) {
    return !call.ended && !w.nodes[call.node].paused;
}

void step_network(world& w, std::uint32_t kind, std::uint32_t choice) {
    if (kind == 0) {
        if (auto* call = pick_call(w, choice, [](const world_call& c) { return !c.delivered; })) {
            deliver(w, *call);
        }
    } else if (kind == 1) {
        if (auto* call =
                pick_call(w, choice, [&](const auto& c) { return c.delivered && can_report(w, c); })) {
            report(w, *call, false);
        }
    } else if (kind == 2) {
        if (auto* call = pick_call(w, choice, [&](const auto& c) { return can_report(w, c); })) {
            report(w, *call, true);
        }
    } else if (auto* call = pick_call(w, choice, [](const auto& c) { return c.delivered; })) {
        // A second copy arrives; the node may see either reply.
        deliver(w, *call);
    }
}

void add_request(world& w, std::uint32_t choice) {
    const std::size_t node = choice % w.nodes.size();
    const std::string order = "order" + std::to_string((w.requests.size() + choice / 4 % 4) / 6);
    const std::string body = choice % 16 == 0 ? "other" : "same";
    const std::string id = "r" + std::to_string(w.requests.size());
    w.requests.push_back({{order, "acme", body, id, w.nodes[node].incarnation}, node});
}

void add_node_charge(world& w, std::uint32_t choice) {
    const std::size_t index = choice % w.nodes.size();
    auto& node = w.nodes[index];
    if (node.paused || !reserve_charge(node.unsettled)) {
        return;
    }
    charge value;
    value.id = "c" + std::to_string(w.next_ticket++);
    value.account = choice % 2 == 0 ? "acme" : "globex";
    value.key_id = choice % 3 == 0 ? "key" + std::to_string(choice / 3 % 4) : "";
    value.micros = choice % 100;
    value = add_charge(node.unsettled, shard, value);
    keep_copy(w.nodes[(index + 1) % w.nodes.size()].copies, {shard, value});
}

void send_charges(world& w, std::size_t from, std::size_t to) {
    if (w.nodes[from].paused) {
        return;
    }
    for (const auto& value : charges_to_send(w.nodes[from].unsettled, shard, 4, w.now)) {
        submit(w, to, value, from);
    }
    const auto is_gone = [&](std::string_view name) {
        return w.ended_incarnations.count(std::string(name)) != 0;
    };
    for (const auto& copy : copies_to_book(w.nodes[from].copies, is_gone, 4)) {
        submit(w, to, copy.value, from);
    }
}

void send_request(world& w, std::size_t index, std::size_t to) {
    const auto& request = w.requests[index];
    const bool alive = w.nodes[request.node].incarnation == request.claim.claimant;
    if (!alive || w.nodes[request.node].paused || request.state == request_state::done) {
        return;
    }
    const auto& claim = request.claim;
    if (request.state == request_state::claiming) {
        submit(w, to, claim, index);
    } else {
        submit(w, to,
               order_result{claim.order_id, claim.account, claim.body_sha256, claim.request_id,
                            claim.claimant, request.ended, 200, "done"},
               index);
    }
}

void give_up(world_request& request) {
    if (request.state == request_state::claiming) {
        request.state = request_state::reporting;
        request.ended = order_state::refused;
    }
}

void crash(world& w, std::size_t index) {
    w.ended_incarnations.insert(w.nodes[index].incarnation);
    for (auto it = w.submissions.begin(); it != w.submissions.end();) {
        it = it->second.node == index ? w.submissions.erase(it) : std::next(it);
    }
    ++w.nodes[index].restarts;
    start_node(w, index);
}

void step_fault(world& w, std::uint32_t kind, std::uint32_t choice) {
    const std::size_t index = choice % w.nodes.size();
    if (kind == 0) {
        w.nodes[index].paused = !w.nodes[index].paused;
    } else if (kind == 1) {
        w.lose_next_answer = true;
    } else if (kind == 2 && choice % 4 == 0) {
        crash(w, index);
    } else if (kind == 3 && choice % 2 == 0 && !w.nodes[index].paused) {
        release_shard(w.nodes[index].writer);
        take_settled_entries(w, index);
    }
}

void step_work(world& w, std::uint32_t kind, std::uint32_t choice) {
    const std::size_t from = choice % w.nodes.size();
    const std::size_t to = choice / 5 % w.nodes.size();
    if (kind == 0) {
        add_request(w, choice);
    } else if (kind == 1) {
        add_node_charge(w, choice);
    } else if (kind == 2) {
        send_charges(w, from, to);
    } else if (kind == 3 && !w.requests.empty()) {
        send_request(w, choice % w.requests.size(), to);
    } else if (kind == 4 && !w.requests.empty() && choice % 3 == 0) {
        give_up(w.requests[choice % w.requests.size()]);
    }
}

} // namespace

world make_world(std::size_t nodes) {
    world w;
    w.now += std::chrono::hours(1);
    w.nodes.resize(nodes);
    return w;
}

void run_step(world& w, std::uint32_t step) {
    if (w.nodes.front().incarnation.empty()) {
        for (std::size_t i = 0; i < w.nodes.size(); ++i) {
            start_node(w, i);
        }
    }
    const std::uint32_t kind = step % 64;
    const std::uint32_t choice = step / 64;
    if (kind < 14) {
        step_node(w, choice % w.nodes.size());
    } else if (kind < 24) {
        step_network(w, 0, choice);
    } else if (kind < 34) {
        step_network(w, 1, choice);
    } else if (kind < 38) {
        step_network(w, 2 + kind % 2, choice);
    } else if (kind < 42) {
        acquire_shard(w.nodes[choice % w.nodes.size()].writer);
    } else if (kind < 46) {
        step_fault(w, kind - 42, choice);
    } else if (kind < 61) {
        step_work(w, kind % 5, choice);
    } else {
        w.now += milliseconds(choice % 400);
    }
}

void run_without_faults(world& w) {
    acquire_shard(w.nodes[0].writer);
    for (std::size_t i = 0; i < w.nodes.size(); ++i) {
        send_charges(w, i, 0);
        for (int calls = 0; calls < 4; ++calls) {
            step_node(w, i);
            step_network(w, 0, 0);
            step_network(w, 1, 0);
        }
    }
    for (std::size_t i = 0; i < w.requests.size(); ++i) {
        send_request(w, i, 0);
    }
    w.now += milliseconds(300);
}

} // namespace figspoke::test
