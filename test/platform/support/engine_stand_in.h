#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figspoke::test {

/// An HTTP request that a stand-in engine read.
struct engine_request {
    /// The request line, for example `POST /order/1 HTTP/1.1`.
    std::string line;
    /// Keyed by the header's name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// The engine's side of one connection. It sends raw bytes, so that a test can break the protocol at any
/// point.
class engine_connection {
  public:
    explicit engine_connection(int socket) : socket_(socket) {}

    void send(const std::string& bytes);
    /// Sends a complete response with Content-Length and the headers that engines add.
    void answer(const engine_request& request, int status, const std::string& body,
                const std::string& headers = {});
    /// Sends the response head of an event stream in chunked encoding.
    void begin_stream(const engine_request& request);
    /// Sends one chunk.
    void send_chunk(const std::string& bytes);
    /// Sends the last chunk, which ends the stream.
    void end_stream();
    /// Closes the connection in an orderly way.
    void shut();
    /// Closes the connection with a TCP reset.
    void reset();
    /// Waits up to `timeout_ms` milliseconds for the peer to close the connection; returns whether it did.
    bool wait_for_close(int timeout_ms);
    bool open() const { return open_; }

  private:
    int socket_;
    bool open_ = true;
};

/// When an engine passes a request to its handler.
enum class engine_start {
    /// After the body is read.
    whole_request,
    /// After the head is read. The body stays unread, and the connection ends with the handler.
    head_only
};

/// An HTTP server that passes each request to a handler. Each connection has its own thread, on which the
/// handler runs.
class engine_stand_in {
  public:
    using handler = std::function<void(engine_connection&, const engine_request&)>;

    explicit engine_stand_in(handler handle, engine_start start = engine_start::whole_request);
    ~engine_stand_in();
    engine_stand_in(const engine_stand_in&) = delete;
    engine_stand_in& operator=(const engine_stand_in&) = delete;

    /// `IP:port` on which the stand-in listens.
    std::string address() const;
    /// Stops like a crashed process: connections end with a reset and new ones are refused. May be called
    /// from the handler.
    void crash();
    bool crashed() const { return crashed_; }

    /// All requests that were read so far, on any connection.
    std::vector<engine_request> requests() const;

  private:
    void accept_loop();
    void serve_connection(int socket);

    handler handle_;
    engine_start start_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> crashed_{false};
    mutable std::mutex mutex_;
    std::vector<engine_request> requests_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace figspoke::test
