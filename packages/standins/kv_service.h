#pragma once

#include "standins/run.h"

namespace figspoke::standins {

/// Builds the key-value service.
standin_role make_kv_service();

} // namespace figspoke::standins
