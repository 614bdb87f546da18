#include "relay/use_codec.h"

namespace figspoke::relay {

nlohmann::json use_json(const policy::upstream_use& use) {
    return {use.requests, use.tokens, use.pending, use.silence ? use.silence->count() : -1};
}

policy::upstream_use use_of(const nlohmann::json& value) {
    policy::upstream_use use;
    use.requests = value.at(0).get<int>();
    use.tokens = value.at(1).get<std::int64_t>();
    use.pending = value.at(2).get<policy::pending_by_rank>();
    if (const auto silence = value.at(3).get<std::int64_t>(); silence >= 0) {
        use.silence = core::milliseconds(silence);
    }
    return use;
}

} // namespace figspoke::relay
