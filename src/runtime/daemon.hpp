#pragma once

#include "coriander/settings.hpp"

#include <functional>
#include <string>

namespace coriander {

/// The `main` of a daemon: reads the `--settings` file, opens the log and calls `run` with the settings. An
/// exception from `run` is printed to standard error. Returns the exit code.
[[nodiscard]] int daemon_main(int argc, char** argv, const std::string& name, const std::string& summary,
                              const std::function<void(const settings&)>& run);

} // namespace coriander
