#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace figspoke::test {

/// A directory that is removed with its files at the end.
class temporary_directory {
  public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

/// A child process. It is killed in the destructor where it still runs.
class child_process {
  public:
    /// Starts a program; its output goes to `<directory>/<name>.out` and `.err`. Throws where that fails.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& directory, const std::string& name);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return pid_; }

    /// Sends a signal where the process still runs.
    void send_signal(int signal);

    /// Returns the exit code, or 128 plus the signal's number. Empty while the process runs.
    std::optional<int> exit_code();

    /// Waits for the exit code, at most for the given time.
    std::optional<int> wait_for_exit(std::chrono::milliseconds timeout = std::chrono::seconds(20));

    /// Returns what the process has written so far.
    std::string output() const;
    std::string errors() const;

  private:
    std::string files_;
    pid_t pid_ = -1;
    std::optional<int> exit_code_;
};

/// Polls the condition until it holds. Returns false where it doesn't within the time.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// Returns the path of a built program such as `standins/standin_kv`.
std::string program_path(const std::string& name);

/// Waits for a port file and returns `127.0.0.1:port`. Throws with the child's errors where it ends first.
std::string wait_for_address(child_process& child, const std::string& port_file);

/// Returns ports on loopback that were free a moment ago, all different.
std::vector<int> pick_free_ports(int count);

/// Returns a file's content, or an empty text where there is none.
std::string read_file(const std::string& path);

/// Writes a file. Throws where that fails.
void write_file(const std::string& path, const std::string& content);

} // namespace figspoke::test
