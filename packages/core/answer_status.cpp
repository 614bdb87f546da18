#include "core/answer_status.h"

namespace figspoke::core {

// HTTP defines the statuses 100 to 599 (RFC 9110, section 15). After 101 the connection would speak another
// protocol.
answer_kind kind_of_status(int status) {
    constexpr int switching_protocols = 101;
    if (status < 100 || status > 599 || status == switching_protocols) {
        return answer_kind::invalid;
    }
    return status < 200 ? answer_kind::interim : answer_kind::final_answer;
}

} // namespace figspoke::core
