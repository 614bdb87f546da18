#pragma once

#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::test {

/// An answer, or as much of it as arrived, on a kept connection.
struct kept_answer {
    /// 0 where no answer began.
    int status = 0;
    /// Keyed by the header's name in lower case.
    std::map<std::string, std::string> headers;
    /// The body without chunk headers.
    std::string body;
    /// Whether the whole answer arrived.
    bool complete = false;
};

/// A caller's connection that carries one request after the other.
class kept_connection {
  public:
    /// Connects to `IP:port`; throws `std::runtime_error` if that fails.
    explicit kept_connection(const std::string& address);
    ~kept_connection();
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;

    /// Sends a POST request with the key `k1`. `headers` are further header lines, each with its line end.
    void send(const std::string& path, const std::string& id, core::milliseconds deadline,
              const std::string& headers = {}, const std::string& body = "b");

    /// Reads the next answer, which has a length or chunks. Gives up after `timeout` without a byte.
    kept_answer read(core::milliseconds timeout);

  private:
    bool read_more(core::milliseconds timeout);
    bool read_until(const std::string& mark, core::milliseconds timeout);
    bool read_chunks(kept_answer& answer, core::milliseconds timeout);

    int socket_ = -1;
    std::string unread_;
};

} // namespace figspoke::test
