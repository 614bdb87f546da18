#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform/support/engine_stand_in.h"
#include "platform/support/store_stand_in.h"
#include "support/process/http.h"
#include "support/process/process.h"

namespace figspoke::test {

/// A relay node as a process, on a loopback address of its own.
struct relay_process {
    std::string ip;
    std::string callers;
    std::string readiness;
    std::string directory;
    std::string metrics;
    /// Address of the store in its settings.
    std::string store;
    int launches = 0;
    std::unique_ptr<child_process> process;
};

/// A store with a configuration, and nodes before it.
class relay_world {
  public:
    relay_world();

    store_stand_in& store() { return store_; }

    /// Registers an engine under an id.
    void add_engine(const std::string& id, const std::string& service, const engine_stand_in& engine,
                    const std::string& state = "ready");
    void add_engine(const std::string& id, const std::string& service, const std::string& address,
                    const std::string& state);

    /// Writes the configuration. Routes: /order/ (once), /look/ (repeatable), /open/ (repeatable, without a
    /// key), /chat/ (stream that can be resumed), /once/ (stream that can't).
    void configure(int version, const std::vector<std::string>& keys);

    /// Starts a node and waits until it is ready.
    relay_process& start_node();
    /// Starts a node that reaches the store at an address of its own, where one is given.
    relay_process& launch_node(const std::string& store = {});
    /// Starts a node again whose process has ended.
    void relaunch(relay_process& node);

    /// Where the output of the nodes is.
    const std::string& output_directory() const { return directory_.path(); }

    /// Sends a request of the key "k1" to a node.
    http_answer send(const relay_process& node, const std::string& path, const std::string& id,
                     const std::string& body = "b", const std::string& key = "k1");

    /// Replaces the settings file of a node.
    void write_settings(const relay_process& node, const std::string& text);
    std::string settings_of(const relay_process& node) const;

    std::vector<std::string> look_up(const relay_process& node);

    bool is_ready(const relay_process& node);

  private:
    std::string settings_file(const relay_process& node) const;

    temporary_directory directory_;
    store_stand_in store_;
    std::vector<int> ports_;
    std::vector<std::unique_ptr<relay_process>> nodes_;
};

} // namespace figspoke::test
