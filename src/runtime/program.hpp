#pragma once

#include "coriander/settings.hpp"

#include <optional>
#include <string>

namespace coriander {

/// Exit codes, stable for use in scripts.
enum class exit_code : int {
    ok = 0,
    failed = 1,      ///< The operation was attempted and failed.
    bad_input = 2,   ///< Invalid flags, settings or configuration; nothing was done.
    pending = 3,     ///< A change is written, but not yet confirmed by every entry host.
    conflict = 4,    ///< Another operator's change was written first.
    unavailable = 5, ///< The platform or an entry host can't be reached.
};

/// Reads a whole file; returns `nullopt` if it can't be read or is empty.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

/// Reads and checks a settings file. If it is invalid, prints all findings to standard error and returns
/// `nullopt`.
[[nodiscard]] std::optional<settings> load_settings(const std::string& path);

/// Blocks SIGINT and SIGTERM in the calling thread and in threads it starts later, and ignores SIGPIPE. Call
/// first in `main`.
void block_stop_signals();

/// Blocks until SIGINT or SIGTERM is received.
void wait_for_stop_signal();

} // namespace coriander
