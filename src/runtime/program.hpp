#pragma once

#include "coriander/settings.hpp"

#include <optional>
#include <string>

namespace coriander {

/// Exit codes that scripts can rely on.
enum class exit_code : int {
    ok = 0,
    failed = 1,      ///< The work was tried and did not succeed.
    bad_input = 2,   ///< Flags, settings or a profile are wrong; nothing was done.
    pending = 3,     ///< A change is written but not yet accepted everywhere.
    conflict = 4,    ///< Another operator was first.
    unavailable = 5, ///< The platform or an entry host can't be reached.
};

/// Reads a whole file; nothing when it can't be read.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

/// Reads and checks a settings file. On faults prints all findings to standard error and gives nothing.
[[nodiscard]] std::optional<settings> load_settings(const std::string& path);

/// Blocks SIGINT and SIGTERM in the calling thread and those it starts later. Call first in `main`.
void block_stop_signals();

/// Waits until SIGINT or SIGTERM comes.
void wait_for_stop_signal();

} // namespace coriander
