#include "node/vm_watch.h"

#include <set>

#include "adapters/await.h"
#include "adapters/vm_list.h"
#include "node/node_state.h"
#include "node/shutdown.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;

// The list lags by more than this, and the mesh knows of failures sooner.
constexpr std::chrono::milliseconds read_period{5000};
constexpr std::chrono::milliseconds read_timeout{2000};

// An id that the list never showed says nothing: the list may not cover this fleet.
void note_vms(node_state& node, const std::vector<adapters::vm>& vms, std::set<std::string>& shown) {
    std::set<std::string> listed;
    for (const auto& vm : vms) {
        listed.insert(vm.id);
        if (vm.id == node.settings.node.id && vm.leaving) {
            begin_shutdown(node);
        }
    }
    shown.insert(listed.begin(), listed.end());
    const std::lock_guard lock(node.nodes.mutex);
    node.nodes.gone.clear();
    for (const auto& id : shown) {
        if (listed.count(id) == 0) {
            node.nodes.gone.insert(id);
        }
    }
}

void watch_vms(node_state& node, const yield_context& yield) {
    const auto list = adapters::make_vm_list(node.client, node.settings.platform.vms, read_timeout);
    std::set<std::string> shown;
    for (;;) {
        if (const auto vms = list.read(yield)) {
            note_vms(node, *vms, shown);
        }
        adapters::sleep_for(read_period, yield);
    }
}

} // namespace

void start_vm_watch(node_state& node) {
    if (!node.settings.platform.vms.empty()) {
        adapters::spawn_coroutine(node.context,
                                  [&node](const yield_context& yield) { watch_vms(node, yield); });
    }
}

} // namespace figspoke::node
