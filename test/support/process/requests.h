#pragma once

#include <chrono>
#include <string>

#include "support/process/fleet.h"

namespace figspoke::test {

/// Returns a chat body with one user message.
nlohmann::json chat_body(const std::string& text, bool stream, int max_tokens = 24);

/// Posts an order with the tester's key.
http_answer place_order(const fleet& nodes, int index, const std::string& key,
                        const std::string& body = R"({"units":3})");

/// Returns the kind of an error answer, or an empty text where it is none.
std::string kind_of(const http_answer& answer);

/// Returns what an error answer says of the execution, or an empty text.
std::string execution_of(const http_answer& answer);

/// A TCP connection on which a test writes and reads raw bytes.
class raw_connection {
  public:
    /// Connects to `IP:port`; a receive buffer above 0 bounds what the kernel takes unread.
    explicit raw_connection(const std::string& address, int receive_buffer = 0);
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    /// Sends all bytes. Returns false where the peer has closed the connection.
    bool send(const std::string& bytes) const;

    /// Reads at least one byte, or nothing at the end or the timeout.
    std::string read_some(std::chrono::milliseconds timeout = std::chrono::seconds(20)) const;

    /// Reads until the peer ends the connection or is silent for the timeout.
    std::string read_to_end(std::chrono::milliseconds timeout = std::chrono::seconds(20)) const;

  private:
    int socket_ = -1;
};

/// Returns the text of an HTTP/1.1 POST with the tester's key.
std::string raw_post(const std::string& target, const std::string& body,
                     const std::string& more_headers = "");

} // namespace figspoke::test
