#pragma once

#include "standins/engine.h"
#include "standins/run.h"

namespace figspoke::standins {

/// Builds the model engine and plain service.
standin_role make_engine(const engine_options& options);

} // namespace figspoke::standins
