#include "relay/document_source.h"

namespace figspoke::relay {

void record_position(store_view& view, const state::store_position& seen) {
    const auto previous = view.known;
    if (!state::raise_position(view.known, seen)) {
        return;
    }
    ++view.returns;
    if (view.on_return) {
        view.on_return(previous);
    }
}

} // namespace figspoke::relay
