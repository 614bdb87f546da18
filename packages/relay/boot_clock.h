#pragma once

#include "core/time.h"

namespace figspoke::relay {

/// Returns the time since the VM started, suspension included. All times of the relay are taken from it, so
/// that ages and deadlines are right after a VM was suspended; they are never compared with another clock.
core::steady_time boot_now();

/// Returns the time of day since 1970. It may be off by seconds and jump, so it only tells apart and orders
/// events that lie further apart.
core::milliseconds unix_time();

} // namespace figspoke::relay
