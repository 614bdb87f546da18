#include "adapters/vm_list.h"

#include "adapters/json_read.h"
#include "adapters/platform_call.h"

namespace figspoke::adapters {
namespace {

vm read_vm(const nlohmann::json& entry) {
    const auto state = read_text(entry, "state");
    if (state != "live" && state != "leaving") {
        throw std::invalid_argument("field \"state\" is neither \"live\" nor \"leaving\"");
    }
    return {read_text(entry, "id"), read_text(entry, "address"), read_text(entry, "failure_domain"),
            state == "leaving"};
}

std::vector<vm> read_vms(const http_reply& reply) {
    const auto body = parse_object(reply.body);
    std::vector<vm> vms;
    for (const auto& entry : read_array(body, "vms")) {
        vms.push_back(read_vm(entry));
    }
    return vms;
}

} // namespace

vm_list make_vm_list(http_client& client, const std::string& address, std::chrono::milliseconds timeout) {
    const platform_endpoint at{client, address, timeout};
    return {[at](const boost::asio::yield_context& yield) {
        return get_from_platform(at, "/vms", yield, read_vms);
    }};
}

} // namespace figspoke::adapters
