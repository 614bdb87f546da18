#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "adapters/http_types.h"

namespace figspoke::test {

/// An answer, or as much of it as arrived.
struct http_answer {
    /// 0 where no answer began.
    int status = 0;
    adapters::http_headers headers;
    std::string body;
    /// Whether the whole answer arrived.
    bool complete = false;
    /// Why it didn't.
    std::string failure;
};

/// Sends a request on a connection of its own and blocks until the answer ends or breaks off.
http_answer http_send(const adapters::http_call& call);

http_answer http_get(const std::string& address, const std::string& target,
                     const adapters::http_headers& headers = {});

http_answer http_post(const std::string& address, const std::string& target, const std::string& body,
                      const adapters::http_headers& headers = {});

/// Parses an answer's body. Throws where it isn't JSON.
nlohmann::json json_of(const http_answer& answer);

/// Returns the data of each whole server-sent event in the text.
std::vector<std::string> split_events(const std::string& text);

/// Returns the text of a streamed chat answer.
std::string streamed_text(const std::string& events);

/// Returns the text of a whole chat answer.
std::string answer_text(const http_answer& answer);

/// Sets control fields of a stand-in. Throws where the stand-in refuses them.
void set_control(const std::string& address, const nlohmann::json& fields);

/// Returns the counts of a stand-in.
nlohmann::json get_counts(const std::string& address);

} // namespace figspoke::test
