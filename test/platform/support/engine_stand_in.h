#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figspoke::test {

/// A request as an engine reads it from its socket.
struct engine_request {
    std::string line;
    /// By lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// One connection of an engine, written byte by byte, so that it can misbehave in any way.
class engine_connection {
  public:
    explicit engine_connection(int socket) : socket_(socket) {}

    void send(const std::string& bytes);
    /// Sends an answer with a length and the headers that engines add.
    void answer(const engine_request& request, int status, const std::string& body,
                const std::string& headers = {});
    /// Sends the head of a stream in chunks, one chunk, and its end.
    void begin_stream(const engine_request& request);
    void chunk(const std::string& bytes);
    void end_stream();
    /// Ends the connection with a reset.
    void reset();
    /// Whether the peer closed the connection within the time.
    bool closed_within(int ms);
    bool open() const { return open_; }

  private:
    int socket_;
    bool open_ = true;
};

/// Serves each request with a function, on a thread for each connection.
class engine_stand_in {
  public:
    using handler = std::function<void(engine_connection&, const engine_request&)>;

    explicit engine_stand_in(handler serve);
    ~engine_stand_in();
    engine_stand_in(const engine_stand_in&) = delete;
    engine_stand_in& operator=(const engine_stand_in&) = delete;

    std::string address() const;
    /// Requests that were read.
    std::vector<engine_request> requests() const;

  private:
    void accept_loop();
    void serve_connection(int socket);

    handler serve_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::vector<engine_request> requests_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace figspoke::test
