#pragma once

namespace figspoke::core {

/// What a status makes of an HTTP answer.
enum class answer_kind {
    /// The final answer follows.
    interim,
    final_answer,
    /// The bytes are no answer.
    invalid
};

/// Classifies the status of an answer to a request that asks for no change of the protocol.
answer_kind kind_of_status(int status);

} // namespace figspoke::core
