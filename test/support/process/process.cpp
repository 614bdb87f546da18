#include "support/process/process.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace figspoke::test {
namespace {

constexpr std::chrono::milliseconds poll_interval{5};
constexpr std::chrono::seconds start_timeout{30};

std::vector<char*> argument_pointers(std::vector<std::string>& arguments) {
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto& argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

int spawn_with_output(const std::string& program, std::vector<char*>& argv, const std::string& files,
                      pid_t& pid) {
    const std::string out = files + ".out";
    const std::string err = files + ".err";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    const int code = posix_spawn(&pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return code;
}

int bind_any_port(int& port) {
    const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (socket_fd < 0 || bind(socket_fd, generic, size) != 0 || getsockname(socket_fd, generic, &size) != 0) {
        throw std::runtime_error("cannot bind to a free port on loopback");
    }
    port = ntohs(address.sin_port);
    return socket_fd;
}

} // namespace

temporary_directory::temporary_directory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "figspoke-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    path_ = pattern;
}

temporary_directory::~temporary_directory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& directory, const std::string& name)
    : files_(directory + "/" + name) {
    std::vector<std::string> all{program};
    all.insert(all.end(), arguments.begin(), arguments.end());
    auto argv = argument_pointers(all);
    const int code = spawn_with_output(program, argv, files_, pid_);
    if (code != 0) {
        throw std::runtime_error("cannot start " + program + ": error " + std::to_string(code));
    }
}

child_process::~child_process() {
    send_signal(SIGKILL);
    wait_for_exit();
}

void child_process::send_signal(int signal) {
    if (!exit_code()) {
        kill(pid_, signal);
    }
}

std::optional<int> child_process::exit_code() {
    int status = 0;
    if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return exit_code_;
}

std::optional<int> child_process::wait_for_exit(std::chrono::milliseconds timeout) {
    wait_until([this] { return exit_code().has_value(); }, timeout);
    return exit_code_;
}

std::string child_process::output() const {
    return read_file(files_ + ".out");
}

std::string child_process::errors() const {
    return read_file(files_ + ".err");
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return condition();
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string program_path(const std::string& name) {
    return std::string(FIGSPOKE_BIN_DIR) + "/" + name;
}

std::string wait_for_address(child_process& child, const std::string& port_file) {
    wait_until([&] { return child.exit_code() || !read_file(port_file).empty(); }, start_timeout);
    const int port = std::atoi(read_file(port_file).c_str());
    if (port == 0) {
        throw std::runtime_error("process wrote no port to " + port_file + ": " + child.errors() +
                                 child.output());
    }
    return "127.0.0.1:" + std::to_string(port);
}

std::vector<int> pick_free_ports(int count) {
    std::vector<int> ports(static_cast<std::size_t>(count));
    std::vector<int> sockets;
    sockets.reserve(ports.size());
    for (auto& port : ports) {
        sockets.push_back(bind_any_port(port));
    }
    for (const int socket_fd : sockets) {
        close(socket_fd);
    }
    return ports;
}

std::string read_file(const std::string& path) {
    std::ifstream stream(path);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

void write_file(const std::string& path, const std::string& content) {
    std::ofstream stream(path);
    stream << content;
    if (!stream.flush()) {
        throw std::runtime_error("cannot write " + path);
    }
}

} // namespace figspoke::test
