#include "state/discovery.h"

namespace figspoke::state {

discovery_step next_discovery_step(const discovery_state& state, const discovery_settings& settings) {
    if (state.since_start < settings.settling_time) {
        return discovery_step::none;
    }
    const bool is_reread_due = state.rank == 0 && state.since_read >= settings.reread_interval;
    if (state.live_members <= 1 || is_reread_due) {
        return discovery_step::read_and_write_addresses;
    }
    const bool is_wanted = state.rank < settings.registered_members;
    return is_wanted && !state.registered ? discovery_step::write_address : discovery_step::none;
}

} // namespace figspoke::state
