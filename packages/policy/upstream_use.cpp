#include "policy/upstream_use.h"

namespace figspoke::policy {

void add_use(upstream_use& total, const upstream_use& more) {
    total.requests += more.requests;
    total.tokens += more.tokens;
    for (std::size_t i = 0; i < total.pending.size(); ++i) {
        total.pending.at(i) += more.pending.at(i);
    }
    if (more.silence && (!total.silence || *more.silence < *total.silence)) {
        total.silence = more.silence;
    }
}

} // namespace figspoke::policy
