#include "cli/status.h"

#include <iomanip>
#include <sstream>

#include "cli/node_call.h"

namespace figspoke::cli {
namespace {

using nlohmann::json;

std::string cell(const json& from, const char* field) {
    const auto found = from.find(field);
    if (found == from.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string describe_service(const std::string& service) {
    if (service == "fresh") {
        return "fresh (its table is current)";
    }
    if (service == "majority") {
        return "majority (the key-value service does not answer; more than half of the nodes are reached)";
    }
    return service + " (it refuses new work)";
}

std::string render_members(const json& members) {
    std::ostringstream text;
    const auto line = [&](const auto& cells) {
        for (const auto& value : cells) {
            text << std::left << std::setw(18) << value;
        }
        text << "\n";
    };
    line(std::vector<std::string>{"  node", "address", "failure domain", "state", "revision", "load %",
                                  "silent ms"});
    for (const auto& member : members) {
        line(std::vector<std::string>{"  " + cell(member, "id"), cell(member, "address"),
                                      cell(member, "failure_domain"), cell(member, "state"),
                                      cell(member, "table_revision"), cell(member, "load_percent"),
                                      cell(member, "silent_ms")});
    }
    return text.str();
}

std::string render_returns(const json& status) {
    const json returns = status.value("store_returns", json::object());
    if (returns.value("count", 0) == 0) {
        return "";
    }
    const json last = returns.value("last", json::object());
    return "the key-value service came back from an older copy, " + cell(returns, "count") +
           " times since the node started; last from revision " + cell(last, "from_revision") + " to " +
           cell(last, "to_revision") +
           ", changes lost: " + std::to_string(last.value("lost", json::array()).size()) + "\n";
}

std::string render_status(const json& status) {
    std::ostringstream text;
    const json charges = status.value("charges", json::object());
    const json admission = status.value("admission", json::object());
    text << "node " << cell(status, "id") << " at " << cell(status, "address") << " in failure domain "
         << cell(status, "failure_domain") << (status.value("draining", false) ? ", draining" : "") << "\n"
         << "service: " << describe_service(cell(status, "service")) << "\n"
         << "table revision " << cell(status, "table_revision") << ", journal shards "
         << cell(status, "shards") << "\n"
         << render_returns(status) << "requests: " << cell(admission, "running") << " running, "
         << cell(admission, "waiting") << " waiting\n"
         << "charges: " << cell(charges, "unsettled") << " unsettled, " << cell(charges, "copies")
         << " held for peers\n"
         << render_members(status.value("members", json::array()));
    return text.str();
}

} // namespace

outcome status(const options& flags, const words& given) {
    if (!given.empty()) {
        return failed(exit_code::usage, "\"" + given[0] + "\" is one word too many for status");
    }
    if (flags.node.empty()) {
        return failed(exit_code::usage, "--node IP:port is missing: the node to ask");
    }
    const auto answer = get_json(flags.node, "/admin/status");
    if (!answer) {
        return failed(answer.error());
    }
    return {exit_code::done, render_status(*answer), *answer};
}

} // namespace figspoke::cli
