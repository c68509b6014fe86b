#pragma once

#include "coriander/event.hpp"
#include "coriander/time_ms.hpp"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace coriander {

/// A `name=value` pair of a log line.
struct log_field {
    log_field(std::string_view name, std::string value) : name{name}, value{std::move(value)} {}
    log_field(std::string_view name, std::string_view value) : name{name}, value{value} {}
    log_field(std::string_view name, const char* value) : name{name}, value{value} {}
    log_field(std::string_view name, time_ms value) : name{name}, value{std::to_string(value.count()) + "ms"}
    {
    }
    log_field(std::string_view name, double value);
    template <std::integral Integer>
    log_field(std::string_view name, Integer value) : name{name}, value{std::to_string(value)}
    {
    }

    std::string_view name;
    std::string value;
};

/// The log file name for standard output, where writing never blocks and excess lines are dropped.
constexpr std::string_view stdout_log_file = "-";

/// Directs log lines to a file, to standard error when `file` is empty, or to `stdout_log_file`. Call once,
/// before other threads start.
void open_log(const std::string& program, const std::string& level, const std::string& file);

/// Writes one line: `E2001 route_chosen name=value ...`. Thread-safe.
void log_event(event id, std::initializer_list<log_field> fields);

/// Returns the latest `limit` lines that contain `text`, oldest first, for `corianderctl explain`. Searches
/// a bounded buffer in memory. Thread-safe.
[[nodiscard]] std::vector<std::string> recent_lines(std::string_view text, std::size_t limit);

} // namespace coriander
