#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "core/error.h"

namespace figspoke::core {

/// Reads one section of a settings file key by key. The first error is kept, and every key that was asked for
/// is remembered, so that a misspelt one can be named when the reader ends.
class section_reader {
  public:
    section_reader(const toml::table& root, std::string section, std::optional<error>& first_error);
    ~section_reader();
    section_reader(const section_reader&) = delete;
    section_reader& operator=(const section_reader&) = delete;

    /// Each of these leaves `into` as it is where the key is absent.
    void text(const std::string& key, std::string& into);
    void required_text(const std::string& key, std::string& into);
    void integer(const std::string& key, std::int64_t min, std::int64_t max, std::int64_t& into);
    /// Accepts whole numbers and fractions.
    void number(const std::string& key, double min, double max, double& into);
    void choice(const std::string& key, const std::vector<std::string>& choices, std::string& into);
    void flag(const std::string& key, bool& into);
    void texts(const std::string& key, std::vector<std::string>& into);

    /// A whole number in the unit of `Duration`.
    template <class Duration>
    void duration(const std::string& key, std::int64_t min, std::int64_t max, Duration& into) {
        std::int64_t count = into.count();
        integer(key, min, max, count);
        into = Duration(count);
    }

    /// A number of seconds, fractions included.
    template <class Duration>
    void fractional_seconds(const std::string& key, double min, double max, Duration& into) {
        double count = std::chrono::duration<double>(into).count();
        number(key, min, max, count);
        into = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
    }

  private:
    const toml::node* find(const std::string& key);
    void refuse(const std::string& key, const std::string& value, const std::string& accepted);
    void report_unknown_keys();

    std::string section_;
    const toml::table* table_;
    std::optional<error>& first_error_;
    std::set<std::string> known_;
};

/// Parses TOML and calls `read` with the root and the place of the first error. Fails with that error, with
/// one for a section that isn't in `known`, or with one that names the line that can't be parsed.
result<void> parse_sections(std::string_view text, const std::set<std::string>& known,
                            const std::function<void(const toml::table&, std::optional<error>&)>& read);

/// Reads a settings file; fails where it can't be read.
result<std::string> read_settings_file(const std::string& path);

} // namespace figspoke::core
