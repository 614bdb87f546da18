#pragma once

#include "adapters/http_types.h"
#include "core/config.h"

namespace figspoke::node {

/// Builds the answer of `GET /v1/models`: only versions that the account allows and that take new work.
adapters::http_reply models_reply(const core::config_snapshot& config, const core::client_account& account);

} // namespace figspoke::node
