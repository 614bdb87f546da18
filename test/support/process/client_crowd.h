#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <sys/types.h>

namespace figspoke::test {

/// What each client of a crowd sends.
struct crowd_bytes {
    /// Sent first. Each `{}` in it becomes the number of the client, which has three digits.
    std::string begin;
    /// Repeated after that.
    std::string repeated;
    /// Number of bytes after the beginning. The client then stays silent on its open connection.
    std::size_t more = 0;
    /// Most bytes that one client sends before the next one's turn.
    std::size_t piece = 64U * 1024;
};

/// Connections to one address that send bytes as far as they are taken and never read an answer.
class client_crowd {
  public:
    /// Makes the connections and sends until everything is sent or the receiver takes no more.
    client_crowd(const std::string& address, int clients, crowd_bytes bytes);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

  private:
    struct client {
        int socket = -1;
        std::string begin;
        std::size_t sent = 0;
    };

    void connect(const std::string& address);
    void send_all();
    bool send_piece(client& sender);
    bool wants_to_send(const client& sender) const;

    crowd_bytes bytes_;
    std::vector<client> clients_;
};

/// Returns a size in KB from /proc/PID/status, such as `VmHWM`.
long memory_kb(pid_t process, const std::string& field);

/// Returns the number of descriptors that a process has open.
std::size_t open_descriptors(pid_t process);

} // namespace figspoke::test
