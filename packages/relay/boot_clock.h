#pragma once

#include "core/time.h"

namespace figspoke::relay {

/// Returns the time since the VM started, suspension included. All times of the relay are taken from it, so
/// that ages and deadlines are right after a VM was suspended; they are never compared with another clock.
core::steady_time boot_now();

} // namespace figspoke::relay
